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
	DefaultPrefix           = "cactustide"
	DefaultMaxBodyBytes     = 16 << 20 // Bytes.
	DefaultMaxResponseBytes = 64 << 20 // Bytes.
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
	// StaticAgents are agents that are asked while the platform is down.
	StaticAgents []AgentAddress
	// Token is shared by entries and agents.
	Token string
	// OperatorToken is the token of operators.
	OperatorToken string
	LogLevel      string
	LogFormat     string
	// CertFile and Key are files for TLS towards callers; empty means plain TCP.
	CertFile string
	KeyFile  string
	// MaxBodyBytes is the largest request body, bytes.
	MaxBodyBytes int64
	// MaxResponseBytes is the largest buffered answer, bytes.
	MaxResponseBytes int64
	// ProgressTimeout is the longest time without a sign of life from an agent.
	ProgressTimeout time.Duration
	// StopTimeout is how long a planned stop waits for requests in progress.
	StopTimeout time.Duration
	// MaxAgents bounds the agents that an entry keeps connections to.
	MaxAgents int
	// SyncInterval is the time between two syncs with an agent.
	SyncInterval time.Duration
	Upstream     Upstream
	// AdminAddresses are the admin addresses that ctl asks.
	AdminAddresses []string
}

// AgentAddress of an agent.
type AgentAddress struct {
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
	// QueueLimit is how many requests the agent queues.
	QueueLimit int
	// SupportsFencing says that the upstream refuses calls with an old fencing number.
	SupportsFencing bool
}

// FillDefaults sets the fields that the file left out.
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
		c.add("tls", "cert and key go together")
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
