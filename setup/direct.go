package setup

import (
	"fmt"
	"time"

	"cactustide/config"
)

// DirectSettings holds the settings of an entry that forwards straight to upstreams.
// Limits that a platform sets for its hosts are part of them.
type DirectSettings struct {
	Name   string
	Centre string
	// Listen is the address for callers.
	Listen string
	// Readiness is the address of the readiness check.
	Readiness string
	// Admin is the address of metrics and operator calls.
	Admin string
	// Peer is the address, TCP and UDP, for other entries.
	Peer string
	// Seeds are peer addresses of some entries, possibly stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// MemoryBytes of the process, bytes.
	MemoryBytes int64
	// MaxSockets bounds the open connections.
	MaxSockets int
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the repeats of all entries together: in any
	// RetryWindow, at most the ratio of the requests and the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// RecomputeWindow is how long after its last use a part of a prompt should not be read
	// once more.
	RecomputeWindow time.Duration
}

// Check returns every fault of the settings.
func (s *DirectSettings) Check() []config.Violation {
	c := &checker{}
	c.checkNotEmpty("name", s.Name)
	c.checkNotEmpty("centre", s.Centre)
	c.checkAddress("listen", s.Listen)
	c.checkAddress("ready", s.Readiness)
	c.checkAddress("peer", s.Peer)
	c.checkAddress("store", s.Store)
	if s.Admin != "" {
		c.checkAddress("admin", s.Admin)
	}
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.checkPositive("memory", s.MemoryBytes)
	c.checkPositive("sockets", int64(s.MaxSockets))
	c.checkPositive("stop", int64(s.StopTimeout))
	c.checkPositive("window", int64(s.RetryWindow))
	c.checkNotNegative("ratio", s.RetryRatio)
	c.checkNotNegative("slack", s.RetrySlack)
	return c.violations
}

func (c *checker) checkNotNegative(key string, value float64) {
	if value < 0 {
		c.add(key, "must not be below zero")
	}
}
