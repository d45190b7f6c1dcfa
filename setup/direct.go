package setup

import (
	"fmt"
	"time"

	"cactustide/config"
)

// DirectSettings holds the settings of an entry that forwards directly to upstreams,
// including the limits that a platform sets for its hosts.
type DirectSettings struct {
	Name   string
	Centre string
	// Listen is the address for callers.
	Listen string
	// Readiness is the address of the readiness check.
	Readiness string
	// Admin is the address for metrics and operators; empty means none.
	Admin string
	// Peer is the address for other entries, TCP and UDP.
	Peer string
	// Seeds are peer addresses of some entries, possibly stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// First is set if the whole system starts for the first time: nothing was served before.
	First bool
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxSockets is the largest number of open connections.
	MaxSockets int
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries of all entries together: in any
	// RetryWindow, at most RetryRatio of the requests plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ApplyTimeout is the time within which a change in the store must be in force at all
	// entries; 0 if unknown.
	ApplyTimeout time.Duration
	// RecomputeWindow is the time after the last use of a prompt segment in which it
	// should not be recomputed.
	RecomputeWindow time.Duration
}

// MinStopTimeout is the shortest time for a graceful shutdown.
const MinStopTimeout = time.Second

// Check returns all violations in the settings; none means they are valid.
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
	if s.StopTimeout < MinStopTimeout {
		c.add("stop", fmt.Sprintf("must be at least %v: a shorter stop leaves no time to answer the requests in progress", MinStopTimeout))
	}
	c.checkPositive("window", int64(s.RetryWindow))
	c.checkNotNegative("ratio", s.RetryRatio)
	c.checkNotNegative("slack", s.RetrySlack)
	c.checkNotNegative("apply", s.ApplyTimeout.Seconds())
	return c.violations
}

func (c *checker) checkNotNegative(key string, value float64) {
	if value < 0 {
		c.add(key, "must not be below zero")
	}
}
