// Package setup holds the settings of one process, with defaults, checks and
// overrides from the environment.
package setup

import (
	"fmt"
	"net"
	"time"

	"cactustide/config"
)

// Defaults of settings that a file may leave out.
const (
	DefaultPrefix   = "cactustide"
	DefaultBody     = 16 << 20 // Bytes.
	DefaultAnswer   = 64 << 20 // Bytes.
	DefaultProgress = 3 * time.Second
	DefaultStop     = 10 * time.Minute
	DefaultLevel    = "info"
	DefaultFormat   = "text"
	DefaultSlots    = 8
	DefaultQueue    = 256
	DefaultAgents   = 64
	DefaultSync     = 500 * time.Millisecond
)

// Kinds of upstreams.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Roles of processes.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	RoleCtl   = "ctl"
)

// Environment variables that override secrets.
const (
	EnvToken    = "CACTUSTIDE_TOKEN"
	EnvOperator = "CACTUSTIDE_OPERATOR"
)

// Settings of one process.
type Settings struct {
	// Name is unique. An agent's name is its upstream's name.
	Name string
	// Centre is the data centre.
	Centre string
	// Listen is the address for callers (entry) or entries' requests (agent).
	Listen string
	// Admin is the address for health, metrics and operators.
	Admin string
	// Peer is the agent's address for net/rpc.
	Peer string
	// Platform is the address of the key-value service.
	Platform string
	// Prefix starts every key in the platform's service.
	Prefix string
	// Peers are agents that are asked while the platform is down.
	Peers []Address
	// Token is shared by entries and agents.
	Token string
	// Operator is the token of operators.
	Operator string
	Level    string
	Format   string
	// Cert and Key are files for TLS towards callers; empty means plain TCP.
	Cert string
	Key  string
	// Body is the largest request body, bytes.
	Body int64
	// Answer is the largest buffered answer, bytes.
	Answer int64
	// Progress is the longest time without a sign of life from an agent.
	Progress time.Duration
	// Stop is how long a planned stop waits for requests in progress.
	Stop time.Duration
	// Agents bounds the agents that an entry keeps connections to.
	Agents int
	// Sync is the time between two syncs with an agent.
	Sync     time.Duration
	Upstream Upstream
	// Admins are the admin addresses that ctl asks.
	Admins []string
}

// Address of an agent.
type Address struct {
	Name   string
	Listen string
	Peer   string
}

// Upstream is what an agent stands beside.
type Upstream struct {
	Kind    string
	Address string
	Model   string
	Service string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Queue is how many requests the agent queues.
	Queue int
	// Fence says that the upstream refuses calls with an old fencing number.
	Fence bool
}

// FillDefaults sets the fields that the file left out.
func (s *Settings) FillDefaults(getenv func(string) string) {
	setDefault(&s.Prefix, DefaultPrefix)
	setDefault(&s.Level, DefaultLevel)
	setDefault(&s.Format, DefaultFormat)
	setDefault(&s.Body, DefaultBody)
	setDefault(&s.Answer, DefaultAnswer)
	setDefault(&s.Progress, DefaultProgress)
	setDefault(&s.Stop, DefaultStop)
	setDefault(&s.Agents, DefaultAgents)
	setDefault(&s.Sync, DefaultSync)
	setDefault(&s.Upstream.Slots, DefaultSlots)
	setDefault(&s.Upstream.Queue, DefaultQueue)
	if v := getenv(EnvToken); v != "" {
		s.Token = v
	}
	if v := getenv(EnvOperator); v != "" {
		s.Operator = v
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check returns every fault of the settings for a role.
func (s *Settings) Check(role string) []config.Violation {
	c := &checker{}
	c.checkAddress("platform", s.Platform)
	switch role {
	case RoleEntry:
		c.checkDaemon(s)
	case RoleAgent:
		c.checkDaemon(s)
		c.checkAddress("peer", s.Peer)
		c.checkUpstream(&s.Upstream)
	case RoleCtl:
		c.checkNotEmpty("operator", s.Operator)
	}
	for i, a := range s.Admins {
		c.checkAddress(fmt.Sprintf("admins[%d]", i), a)
	}
	return c.faults
}

type checker struct {
	faults []config.Violation
}

func (c *checker) add(key, text string) {
	c.faults = append(c.faults, config.Violation{Key: key, Message: text})
}

func (c *checker) checkNotEmpty(key, value string) {
	if value == "" {
		c.add(key, "must not be empty")
	}
}

func (c *checker) checkPositive(key string, value int64) {
	if value <= 0 {
		c.add(key, "must be above zero")
	}
}

// checkAddress wants an IP number, because hosts talk by IP numbers.
func (c *checker) checkAddress(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.add(key, fmt.Sprintf("%q is not an IP number and port, such as 10.0.0.1:7000", value))
	}
}

func (c *checker) checkOneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(key, fmt.Sprintf("%q is not allowed; one of %v", value, allowed))
}

func (c *checker) checkDaemon(s *Settings) {
	c.checkNotEmpty("name", s.Name)
	c.checkNotEmpty("centre", s.Centre)
	c.checkAddress("listen", s.Listen)
	c.checkAddress("admin", s.Admin)
	c.checkNotEmpty("token", s.Token)
	c.checkNotEmpty("operator", s.Operator)
	c.checkOneOf("log.level", s.Level, "debug", "info", "warning", "error")
	c.checkOneOf("log.format", s.Format, "text", "json")
	c.checkPositive("limits.body", s.Body)
	c.checkPositive("limits.answer", s.Answer)
	c.checkPositive("limits.progress", int64(s.Progress))
	c.checkPositive("limits.stop", int64(s.Stop))
	c.checkPositive("limits.agents", int64(s.Agents))
	c.checkPositive("limits.sync", int64(s.Sync))
	if (s.Cert == "") != (s.Key == "") {
		c.add("tls", "cert and key go together")
	}
	for i, p := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		c.checkNotEmpty(key+".name", p.Name)
		c.checkAddress(key+".listen", p.Listen)
		c.checkAddress(key+".peer", p.Peer)
	}
}

func (c *checker) checkUpstream(u *Upstream) {
	c.checkOneOf("upstream.kind", u.Kind, KindEngine, KindPlain)
	c.checkAddress("upstream.address", u.Address)
	c.checkPositive("upstream.slots", int64(u.Slots))
	c.checkPositive("upstream.queue", int64(u.Queue))
	switch u.Kind {
	case KindEngine:
		c.checkNotEmpty("upstream.model", u.Model)
	case KindPlain:
		c.checkNotEmpty("upstream.service", u.Service)
	}
}
