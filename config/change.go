package config

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Kind tells the errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"  // The changed document has faults.
	KindConflict Kind = "lost"     // Another operator changed the document first.
	KindUnknown  Kind = "unknown"  // The platform did not say whether the write took effect.
	KindMissing  Kind = "missing"  // There is no document yet.
	KindPlatform Kind = "platform" // The platform could not be read.
)

// Error is the error of this package.
type Error struct {
	Op         string
	Kind       Kind
	Err        error
	Violations []Violation
	// Current is the document that won a lost race.
	Current *Document
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	text := "config: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsErrConflict reports whether the change lost a race against another operator.
func IsErrConflict(err error) bool { return isKind(err, KindConflict) }

// IsErrUnknown reports whether it is unknown if the change took effect.
func IsErrUnknown(err error) bool { return isKind(err, KindUnknown) }

// IsErrInvalid reports whether the changed document has faults.
func IsErrInvalid(err error) bool { return isKind(err, KindInvalid) }

func isKind(err error, kind Kind) bool {
	var e *Error
	return errs.IsFunc(err, func(err error) bool {
		found, ok := err.(*Error)
		if ok {
			e = found
		}
		return ok && e.Kind == kind
	})
}

// Store is the document's place in the platform's service.
type Store struct {
	// Read returns the document and its version; version 0 means absent.
	Read func() (*Document, uint64, error)
	// Swap writes the document if the version still holds. ok is false when it
	// did not. An error means that the outcome is unknown.
	Swap func(d *Document, version uint64) (ok bool, err error)
}

// confirmAttempts is how often a lost answer to a write is looked up.
const confirmAttempts = 3

// Change applies edit to the current document by one compare-and-swap. A lost
// race and a lost answer are told apart by the change's id.
func Change(s Store, id, author string, edit func(d *Document)) (*Document, error) {
	current, version, err := s.Read()
	if err != nil {
		return nil, &Error{Op: "change", Kind: KindPlatform, Err: err}
	}
	next := Document{}
	if version != 0 {
		next = *current
	}
	edit(&next)
	next.Generation = 1
	if version != 0 {
		next.Generation = current.Generation + 1
	}
	next.Change = id
	next.Author = author
	if violations := Check(&next); len(violations) > 0 {
		return nil, &Error{Op: "change", Kind: KindInvalid, Violations: violations}
	}
	ok, err := s.Swap(&next, version)
	if err == nil && ok {
		return &next, nil
	}
	return confirm(s, &next, err)
}

// confirm finds out who wrote the generation that next was meant to be. The
// generation alone proves nothing, since the winner has it too; the id does.
func confirm(s Store, next *Document, cause error) (*Document, error) {
	for range confirmAttempts {
		stored, version, err := s.Read()
		if err != nil {
			cause = err
			continue
		}
		if version != 0 && stored.Change == next.Change {
			return next, nil
		}
		if version != 0 && stored.Generation >= next.Generation {
			return nil, conflictOrUnknown(stored, next, cause)
		}
	}
	return nil, &Error{Op: "change", Kind: KindUnknown, Err: cause}
}

// conflictOrUnknown reports a lost race, except when the write may have taken
// effect and been replaced since: then only a newer document is seen.
func conflictOrUnknown(stored, next *Document, cause error) error {
	if cause != nil && stored.Generation > next.Generation {
		return &Error{Op: "change", Kind: KindUnknown, Err: cause, Current: stored}
	}
	return &Error{Op: "change", Kind: KindConflict, Current: stored}
}

// Holder keeps the document in force in one process.
type Holder struct {
	current atomic.Pointer[Document]
}

// Get returns the document in force, or nil before the first one.
func (h *Holder) Get() *Document { return h.current.Load() }

// Generation returns the generation in force, or 0.
func (h *Holder) Generation() uint64 {
	if d := h.current.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// Adopt puts d in force if its generation is greater than the current one.
func (h *Holder) Adopt(d *Document) bool {
	for {
		old := h.current.Load()
		if old != nil && d.Generation <= old.Generation {
			return false
		}
		if h.current.CompareAndSwap(old, d) {
			return true
		}
	}
}
