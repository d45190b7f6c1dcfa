// Package head checks the heads of HTTP responses for defects that the HTTP libraries let pass. A
// response whose head has one is none of the peer's: a parser that goes on may take another status,
// another length or another body for what was sent.
package head

import (
	"net/http"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindStatus: the status is none that a response can have.
	KindStatus Kind = "status"
	// KindName: the name of a field is no token.
	KindName Kind = "name"
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

// maxQuoted bounds what an error quotes of a head, bytes.
const maxQuoted = 40

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

// CheckNames returns an error if the name of a field is no token (RFC 9110, section 5.1).
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return nameError(name)
		}
	}
	return nil
}

func nameError(name string) error {
	return &Error{Op: "check", Kind: KindName, Err: errs.New("%q is no name of a field", name[:min(len(name), maxQuoted)])}
}
