package store

import (
	"cmp"
	"time"
)

// Position is a point in the history of a store that numbers all changes by one revision
// counter. A store that comes back from an older copy gives revisions out again; the era, which
// rises with each such return, tells them apart.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 as p is before, at or after q. The era goes before the revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether the position is not known.
func (p Position) IsZero() bool { return p == Position{} }

// Later returns the later one of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Item is a key of a store that numbers all changes by one revision counter.
type Item struct {
	Key   string
	Value []byte
	// Position of the last change of the item. The era is that of the answer which had the
	// item: the change itself may be from an earlier one.
	Position Position
	// Deleted items have no value.
	Deleted bool
	// Err is set if the store's text of the item could not be decoded; the fields that
	// could be are set.
	Err error
}

// Changes is the result of a watch.
type Changes struct {
	Items []Item
	// Position from which to continue. If its era is another than that of the position in the
	// call, the items do not follow that position, and the caller has to list again.
	Position Position
	// Compacted is set if the store no longer has the requested changes, so that the
	// caller has to list again.
	Compacted bool
}

// ListWatch reads a store that keeps a history of its changes. The functions are
// fields so that each platform and test can supply its own.
type ListWatch struct {
	// List returns all items under a prefix, all of one era, and a position to watch from.
	List func(prefix string, timeout time.Duration) ([]Item, Position, error)
	// Watch returns the changes after a position, or none after the wait.
	Watch func(prefix string, after Position, wait time.Duration) (Changes, error)
	// Get returns the item of a key, or false if there is none, and the position of the answer.
	// It is nil if the store cannot be written.
	Get func(key string, timeout time.Duration) (Item, bool, Position, error)
	// Swap writes a value if the key was last changed at a position; zero creates the key. It
	// returns the position of the change, or false if the key was changed since.
	Swap func(key string, value []byte, expected Position, timeout time.Duration) (Position, bool, error)
	// OnEra, if set, is called with the era of each answer, also of one that is an error,
	// before the call returns.
	OnEra func(era uint64)
}
