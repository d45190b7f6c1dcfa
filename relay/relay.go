// Package relay replicates state between the entries of a deployment. Gossip
// messages (UDP) carry recent events and the sender's position in the store; RPCs
// (net/rpc over TCP) fetch what an entry that lags behind is missing.
package relay

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindCall   Kind = "call"
	KindCodec  Kind = "codec"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return "relay: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
