// Package rules holds the configuration of an entry that forwards straight to
// upstreams: routes, services, teams and limits. It decides which version is in
// force and which route a request takes. It does no I/O and reads no clock.
package rules

import "time"

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "repeatable"
	// KindNonIdempotent requests run at most once for each attempt of a caller.
	KindNonIdempotent Kind = "once"
	// KindStream requests run at most once and answer with a series of events.
	KindStream Kind = "stream"
)

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams hold the API keys. Without teams no key is asked for.
	Teams []Team
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the latency target of the answer or of its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events of a stream that is on time.
	EventGapTarget time.Duration
	// Tier is the priority; 0 is the highest.
	Tier  int
	Split []WeightedService
	// MaxAttempts bounds the upstreams that may run one attempt of a caller.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Sticky requests name the parts of their prompt.
	Sticky bool
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// MaxConns bounds the connections that an upstream accepts from all entries.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVCapacity of running requests and cached prompts, tokens.
	KVCapacity int
	// TokensPerEvent is the number of tokens in an event.
	TokensPerEvent int
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and Body are the largest sizes, bytes.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeaderTimeout is how long a request's head may take, Idle how long a connection may
	// stay without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Tier replaces the route's tier if Tiered is set.
	Tier    int
	HasTier bool
}
