// Package rules holds the configuration of an entry that forwards requests directly
// to upstreams: routes, services, teams and limits. It decides which version is in
// force and which route a request takes. It does no I/O and reads no clock.
package rules

import "time"

// Kind classifies routes by whether their requests may run more than once.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "repeatable"
	// KindNonIdempotent requests run at most once for each attempt of a caller.
	KindNonIdempotent Kind = "once"
	// KindStream requests run at most once, unless the route is Resumable, and get a
	// stream of events.
	KindStream Kind = "stream"
)

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams hold the API keys.
	Teams []Team
	// KeysRequired is set if the configuration lists teams, also if the list is empty:
	// routes that are not public need a key then. Without a list no route needs one.
	KeysRequired bool
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until a caller gets the complete response.
	Timeout time.Duration
	// LatencyTarget is the latency target of the response, or of the first event
	// of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events of a stream that
	// meets its target.
	EventGapTarget time.Duration
	// Tier is the priority; 0 is the highest.
	Tier  int
	Split []WeightedService
	// MaxAttempts is the largest number of upstreams that may run one attempt of a
	// caller.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// Sticky marks routes whose requests name the segments of their prompt.
	Sticky bool
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConns is the largest number of connections that an upstream accepts from
	// all entries together.
	MaxConns int
	// Engine is nil if the upstreams are not model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVCapacity is the size of the KV cache for running requests and cached
	// prompts, in tokens.
	KVCapacity int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	// Sizes in bytes; 0 means no limit.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time to read a request's header, IdleTimeout
	// the longest time that a connection may have no request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Tier goes before the route's tier if HasTier is set; 0 is the highest.
	Tier    int
	HasTier bool
}
