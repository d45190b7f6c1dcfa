package config

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"  // The changed document violates a constraint.
	KindConflict Kind = "lost"     // Another operator changed the document first.
	KindUnknown  Kind = "unknown"  // It is unknown whether the write took effect.
	KindMissing  Kind = "missing"  // There is no document yet.
	KindPlatform Kind = "platform" // The platform could not be read.
)

// Error is the error returned by Change.
type Error struct {
	Op         string
	Kind       Kind
	Err        error
	Violations []Violation
	// Current is the document of a competing change found in the store, or nil.
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

// IsErrConflict reports whether another operator changed the document first.
func IsErrConflict(err error) bool { return isKind(err, KindConflict) }

// IsErrUnknown reports whether it is unknown if the change took effect.
func IsErrUnknown(err error) bool { return isKind(err, KindUnknown) }

// IsErrInvalid reports whether the changed document violates a constraint.
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

// Store reads and writes the document in the platform's service.
type Store struct {
	// Read returns the document and its version; version 0 means absent.
	Read func() (*Document, uint64, error)
	// Swap writes the document if its version is still the given one. ok is
	// false if the version differed. An error means that the outcome is unknown.
	Swap func(d *Document, version uint64) (ok bool, err error)
}

// confirmAttempts is how often the document is read after a write without a reply.
const confirmAttempts = 3

// Change applies edit to the stored document by one compare-and-swap. id must be
// unique: after a failed swap it tells whether the stored document is this change.
// Errors are of type *Error.
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

// confirm finds out who wrote the generation of next. The generation alone does
// not identify the writer, since a competing change has the same one; the id does.
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

// conflictOrUnknown returns a conflict, unless the write may have taken effect and
// been replaced since: the stored document is then newer than next.
func conflictOrUnknown(stored, next *Document, cause error) error {
	if cause != nil && stored.Generation > next.Generation {
		return &Error{Op: "change", Kind: KindUnknown, Err: cause, Current: stored}
	}
	return &Error{Op: "change", Kind: KindConflict, Current: stored}
}

// Holder stores the document in force in one process. It is safe for concurrent
// use.
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

// Adopt puts d in force if its generation is greater than the current one, and
// reports whether it did.
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
