// Package rules holds the configuration of an entry that forwards straight to
// upstreams: routes, services, teams and limits. It decides which version is in
// force and which route a request takes. It does no I/O and reads no clock.
package rules

import "time"

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = "once"
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
	// Target is the latency target of the answer or of its first event.
	Target time.Duration
	// Pause is the longest time between two events of a stream that is on time.
	Pause time.Duration
	// Tier is the priority; 0 is the highest.
	Tier  int
	Split []Weight
	// Tries bounds the upstreams that may run one attempt of a caller.
	Tries int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Prompted requests name the parts of their prompt.
	Prompted bool
}

// Weight is a service's share of a route.
type Weight struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// Channels bounds the connections that an upstream accepts from all entries.
	Channels int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Memory of running requests and cached prompts, tokens.
	Memory int
	// Stride is the number of tokens in an event.
	Stride int
}

// Limits bound what a caller may send.
type Limits struct {
	// Header and Body are the largest sizes, bytes.
	Header int64
	Body   int64
	// Head is how long a request's head may take, Idle how long a connection may
	// stay without a request.
	Head time.Duration
	Idle time.Duration
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Tier replaces the route's tier if Tiered is set.
	Tier   int
	Tiered bool
}
