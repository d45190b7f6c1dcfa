// Package setup holds the settings of one process, with defaults, validation and
// overrides from the environment.
package setup

import (
	"fmt"
	"net"
	"time"

	"cactustide/config"
)

// Defaults of optional settings.
const (
	DefaultPrefix           = "cactustide"
	DefaultMaxBodyBytes     = 16 << 20
	DefaultMaxResponseBytes = 64 << 20
	DefaultProgressTimeout  = 3 * time.Second
	DefaultStopTimeout      = 10 * time.Minute
	DefaultLogLevel         = "info"
	DefaultLogFormat        = "text"
	DefaultSlots            = 8
	DefaultQueueLimit       = 256
	DefaultMaxAgents        = 64
	DefaultSyncInterval     = 500 * time.Millisecond
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
	// Name is unique among the processes; an agent has the name of its upstream.
	Name string
	// Centre is the data centre.
	Centre string
	// Listen is the address for callers (entry) or entries' requests (agent).
	Listen string
	// Admin is the address for health, metrics and operators.
	Admin string
	// Peer is the agent's address for net/rpc.
	Peer string
	// Platform is the address of the platform's key-value service.
	Platform string
	// Prefix of all keys in the platform's service.
	Prefix string
	// StaticAgents are connected to in addition to the agents that the platform lists,
	// so also while the platform is down.
	StaticAgents []AgentAddress
	// Token is the shared secret of entries and agents.
	Token string
	// OperatorToken authenticates operators.
	OperatorToken string
	LogLevel      string
	LogFormat     string
	// CertFile and KeyFile are for TLS towards callers; empty means plain TCP.
	CertFile string
	KeyFile  string
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// MaxResponseBytes is the largest response that is buffered.
	MaxResponseBytes int64
	// ProgressTimeout is the longest time without data from an agent.
	ProgressTimeout time.Duration
	// StopTimeout is how long a graceful shutdown waits for requests in progress.
	StopTimeout time.Duration
	// MaxAgents is the largest number of agents that an entry keeps connections to.
	MaxAgents int
	// SyncInterval is the time between two syncs with an agent.
	SyncInterval time.Duration
	Upstream     Upstream
	// AdminAddresses are the admin addresses of the entries that ctl queries.
	AdminAddresses []string
}

// AgentAddress holds the addresses of an agent: Listen for requests, Peer for net/rpc.
type AgentAddress struct {
	Name   string
	Listen string
	Peer   string
}

// Upstream describes the upstream of an agent.
type Upstream struct {
	Kind    string
	Address string
	Model   string
	Service string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// QueueLimit is the largest number of requests that the agent queues.
	QueueLimit int
	// SupportsFencing is set if the upstream rejects calls with an outdated fencing
	// token.
	SupportsFencing bool
}

// FillDefaults sets the defaults of empty fields, and the secrets that the
// environment overrides.
func (s *Settings) FillDefaults(getenv func(string) string) {
	setDefault(&s.Prefix, DefaultPrefix)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.LogFormat, DefaultLogFormat)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&s.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&s.StopTimeout, DefaultStopTimeout)
	setDefault(&s.MaxAgents, DefaultMaxAgents)
	setDefault(&s.SyncInterval, DefaultSyncInterval)
	setDefault(&s.Upstream.Slots, DefaultSlots)
	setDefault(&s.Upstream.QueueLimit, DefaultQueueLimit)
	if v := getenv(EnvToken); v != "" {
		s.Token = v
	}
	if v := getenv(EnvOperator); v != "" {
		s.OperatorToken = v
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check returns all violations in the settings for a role; none means they are
// valid.
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
		c.checkNotEmpty("operator", s.OperatorToken)
	}
	for i, a := range s.AdminAddresses {
		c.checkAddress(fmt.Sprintf("admins[%d]", i), a)
	}
	return c.violations
}

type checker struct {
	violations []config.Violation
}

func (c *checker) add(key, text string) {
	c.violations = append(c.violations, config.Violation{Key: key, Message: text})
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

// checkAddress requires an IP address, because hosts connect to each other by IP
// address.
func (c *checker) checkAddress(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.add(key, fmt.Sprintf("%q is not an IP address and port, such as 10.0.0.1:7000", value))
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
	c.checkNotEmpty("operator", s.OperatorToken)
	c.checkOneOf("log.level", s.LogLevel, "debug", "info", "warning", "error")
	c.checkOneOf("log.format", s.LogFormat, "text", "json")
	c.checkPositive("limits.body", s.MaxBodyBytes)
	c.checkPositive("limits.answer", s.MaxResponseBytes)
	c.checkPositive("limits.progress", int64(s.ProgressTimeout))
	c.checkPositive("limits.stop", int64(s.StopTimeout))
	c.checkPositive("limits.agents", int64(s.MaxAgents))
	c.checkPositive("limits.sync", int64(s.SyncInterval))
	if (s.CertFile == "") != (s.KeyFile == "") {
		c.add("tls", "cert and key must be set together")
	}
	for i, p := range s.StaticAgents {
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
	c.checkPositive("upstream.queue", int64(u.QueueLimit))
	switch u.Kind {
	case KindEngine:
		c.checkNotEmpty("upstream.model", u.Model)
	case KindPlain:
		c.checkNotEmpty("upstream.service", u.Service)
	}
}
