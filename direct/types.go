// Package direct is the entry that forwards straight to upstreams, for
// platforms whose hosts offer no place for agents. It accepts, authenticates,
// asks for a decision, forwards and answers.
package direct

import (
	"net/http"
	"time"

	"cactustide/fleet"
	"cactustide/place"
	"cactustide/rules"
	"cactustide/store"
)

// Kind tells the errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "direct: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Ask is what a caller's headers say.
type Ask struct {
	// ID of the attempt.
	ID  string
	Key string
	// Left is how long the caller waits, if Limited.
	Left    time.Duration
	Limited bool
	// Parts of the prompt that other requests may share.
	Parts []place.Segment
	// Prompt and Output are numbers of tokens; Output is the largest allowed.
	Prompt int
	Output int
	// Hint is the caller's estimate of the output, tokens; 0 means none.
	Hint int
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// Send is what an upstream is told beside the caller's own headers.
type Send struct {
	Upstream string
	Left     time.Duration
	Team     string
	// Prompted requests run in a model engine, where Tier is their priority.
	Prompted  bool
	Tier      int
	LastEvent string
}

// Reply is what an upstream's headers say.
type Reply struct {
	// ID of the request that is answered; empty if not said.
	ID string
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Signed answers were made by the upstream's application.
	Signed                  bool
	Running, Waiting, Slots int
}

// Wire translates headers. Names and formats are the platform's.
type Wire struct {
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	ReadAsk   func(http.Header) Ask
	// WriteSend drops what only the system may set, then sets it.
	WriteSend func(http.Header, Send)
	ReadReply func(http.Header) Reply
	// WriteID names the request in an answer of our own.
	WriteID func(http.Header, string)
}

// Change is one change of what lies in the store. At most one field is set.
type Change struct {
	Document *rules.Document
	Upstream *fleet.Upstream
	// Removed is the id of an upstream whose registration vanished.
	Removed string
	// Invalid is the id of an upstream whose registration cannot be used.
	Invalid string
}

// Items translates what lies in the store.
type Items struct {
	// Prefixes of the keys to read.
	Prefixes []string
	Decode   func(store.Item) (Change, error)
}
