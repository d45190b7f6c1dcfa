// Package direct implements the entry that forwards requests directly to upstreams,
// for platforms whose hosts cannot run agents. It authenticates requests, chooses an
// upstream, forwards the request and returns the response.
package direct

import (
	"net/http"
	"time"

	"cactustide/fleet"
	"cactustide/place"
	"cactustide/rules"
	"cactustide/store"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	// KindEra: an answer of the store is from before its last return from an older copy.
	KindEra Kind = "era"
	// KindBehind: the changes after the copy cannot be read one by one.
	KindBehind Kind = "behind"
)

// Error is an error of this package with its operation and kind.
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

// RequestInfo is the content of a caller's headers.
type RequestInfo struct {
	// ID identifies the caller's attempt.
	ID     string
	APIKey string
	// Timeout is how long the caller waits, if HasTimeout.
	Timeout    time.Duration
	HasTimeout bool
	// Segments of the prompt that other requests may share.
	Segments []place.Segment
	// Parts are the ids of these segments, each by itself.
	Parts []string
	// PromptTokens is the length of the prompt, MaxOutputTokens the largest output allowed.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the output, tokens; 0 means none.
	OutputHint int
	// LastEventID is the last event of a stream that the caller received.
	LastEventID string
	// Resumes is the id of the caller's attempt that brought the first event of that stream;
	// empty if not stated.
	Resumes string
}

// ForwardInfo is what the entry sets in the headers of a forwarded request.
type ForwardInfo struct {
	// ID of the caller's attempt, as the caller sent it.
	ID       string
	Upstream string
	Timeout  time.Duration
	Team     string
	// Inference requests run in a model engine, where Tier is their priority.
	Inference   bool
	Tier        int
	LastEventID string
}

// ResponseInfo is the content of an upstream's headers.
type ResponseInfo struct {
	// ID of the request to which this responds; empty if not stated.
	ID string
	// NotExecuted is set when the upstream did not execute the request.
	NotExecuted bool
	// Signed is set when the upstream's application made the response.
	Signed                  bool
	Running, Waiting, Slots int
	// Leaving is set when the upstream's process is leaving.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests, if it refused this one;
	// InvalidRetryAfter is the text if it is not a time.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Rate is the number of requests per second that the upstream takes from all entries
	// together, if NamesRate; InvalidRate is the text if it is no rate.
	Rate        float64
	NamesRate   bool
	InvalidRate string
}

// HeaderCodec reads and writes the platform's headers and what upstreams report.
type HeaderCodec struct {
	// ReadyPath is the path of the readiness check.
	ReadyPath     string
	DecodeRequest func(http.Header) RequestInfo
	// EncodeForward removes the headers that only the system may set, then sets them.
	EncodeForward func(http.Header, ForwardInfo)
	// EndToEnd are the fields, in canonical form, that reach the upstream also if the
	// Connection field names them.
	EndToEnd       []string
	DecodeResponse func(http.Header) ResponseInfo
	// EncodeRequestID sets the id of the request in a response that the entry itself makes.
	EncodeRequestID func(http.Header, string)
	// ReportPath is the path at which upstreams report on themselves; empty if they do not.
	// DecodeReport returns the start of the process in a report, Unix milliseconds, and whether
	// the report names it.
	ReportPath   string
	DecodeReport func([]byte) (startedAt int64, named bool, err error)
}

// Change is one change in the store. At most one field is set.
type Change struct {
	Document *rules.Document
	Upstream *fleet.Upstream
	// Removed is the id of an upstream whose registration was removed.
	Removed string
	// Invalid is the id of an upstream whose registration cannot be decoded.
	Invalid string
}

// ItemCodec decodes the items of the store.
type ItemCodec struct {
	// Prefixes of the keys to read. The configuration is under the first one.
	Prefixes []string
	Decode   func(store.Item) (Change, error)
}
