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

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	// ID of the attempt.
	ID     string
	APIKey string
	// Timeout is how long the caller waits, if Limited.
	Timeout    time.Duration
	HasTimeout bool
	// Segments of the prompt that other requests may share.
	Segments []place.Part
	// PromptTokens and Output are numbers of tokens; Output is the largest allowed.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the output, tokens; 0 means none.
	OutputHint int
	// LastEventID is the last event that the caller has of a stream.
	LastEventID string
}

// ForwardInfo is what an upstream is told beside the caller's own headers.
type ForwardInfo struct {
	Upstream string
	Timeout  time.Duration
	Team     string
	// Inference requests run in a model engine, where Tier is their priority.
	Inference   bool
	Tier        int
	LastEventID string
}

// ResponseInfo is what an upstream's headers say.
type ResponseInfo struct {
	// ID of the request that is answered; empty if not said.
	ID string
	// NotExecuted says that the upstream did not run the request.
	NotExecuted bool
	// Signed answers were made by the upstream's application.
	Signed                  bool
	Running, Waiting, Slots int
}

// HeaderCodec translates headers. Names and formats are the platform's.
type HeaderCodec struct {
	// ReadyPath is the path of the readiness check.
	ReadyPath     string
	DecodeRequest func(http.Header) RequestInfo
	// EncodeForward drops what only the system may set, then sets it.
	EncodeForward  func(http.Header, ForwardInfo)
	DecodeResponse func(http.Header) ResponseInfo
	// EncodeRequestID names the request in an answer of our own.
	EncodeRequestID func(http.Header, string)
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

// ItemCodec translates what lies in the store.
type ItemCodec struct {
	// Prefixes of the keys to read.
	Prefixes []string
	Decode   func(store.Item) (Change, error)
}
