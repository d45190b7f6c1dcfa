// Package head checks the heads of HTTP responses for defects that the HTTP libraries let pass. A
// response whose head has one is none of the peer's: a parser that goes on may take another status,
// another length or another body for what was sent.
package head

import (
	"net/http"

	"github.com/zeebo/errs"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindStatus: the status is none that a response can have.
	KindStatus Kind = "status"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string { return "head: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Bounds of the status, RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error if a response cannot have a status. 101 is refused too: it answers a
// request to switch protocols (RFC 9110, section 15.2.2), and none is sent.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Op: "check", Kind: KindStatus, Err: errs.New("%03d is no status of a response", status)}
	}
	return nil
}
