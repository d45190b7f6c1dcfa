package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactustide/peer"
	"cactustide/route"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

const (
	syncTimeout      = time.Second
	hostPollInterval = 2 * time.Second
	// firstSyncInterval is the time between syncs with an agent that has not answered yet.
	firstSyncInterval = 50 * time.Millisecond
	// agentService is the service name of agents in the platform's list of hosts.
	agentService = "cactustide-agent"
)

// agentConn is the control connection to one agent.
type agentConn struct {
	address setup.AgentAddress
	client  *peer.Client
	cancel  context.CancelFunc
	// syncNow triggers a sync at once.
	syncNow chan struct{}
	// generation of the agent's configuration at the last sync; 0 if unknown.
	generation uint64
	// reached is set once a sync has succeeded.
	reached  atomic.Bool
	openedAt time.Time
}

// agentConns holds the control connections of this entry by the name of the agent.
type agentConns struct {
	mu     sync.Mutex
	byName map[string]*agentConn
	group  sync.WaitGroup
	// hostsRead is set once the list of hosts was read or could not be read.
	hostsRead bool
}

// settlePeriod is how long an entry waits for the first answer of an agent before it counts
// as ready without it.
const settlePeriod = 3 * time.Second

// settled reports whether the entry has asked for the list of hosts and knows the state of
// each agent, or has tried to reach it for settlePeriod.
func (c *agentConns) settled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.byName {
		if !conn.reached.Load() && now.Sub(conn.openedAt) < settlePeriod {
			return false
		}
	}
	return c.hostsRead
}

// allReached reports whether each agent has answered once, so that what all of them serve is
// known.
func (c *agentConns) allReached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.byName {
		if !conn.reached.Load() {
			return false
		}
	}
	return c.hostsRead
}

func (c *agentConns) setHostsRead() {
	c.mu.Lock()
	c.hostsRead = true
	c.mu.Unlock()
}

// watchHosts updates the connections from the platform's list of hosts at each
// hostPollInterval. While the platform is unreachable, the last list stays in use.
func (e *Entry) watchHosts(ctx context.Context) error {
	e.updateConns(ctx, nil)
	for {
		hosts, err := e.platform.Hosts(agentService)
		if err != nil {
			e.log.Debugf("reading the list of hosts failed: %v", err)
		} else {
			e.updateConns(ctx, hosts)
		}
		e.agentConns.setHostsRead()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(hostPollInterval):
		}
	}
}

// updateConns connects to the agents of the settings and, in each group of hosts,
// to a subset of at most settings.Agents. Nil hosts close no connection.
func (e *Entry) updateConns(ctx context.Context, hosts []store.Host) {
	addresses := map[string]setup.AgentAddress{}
	for _, p := range e.settings.StaticAgents {
		addresses[p.Name] = p
	}
	leaving := map[string]bool{}
	groups := map[string][]string{"": nil}
	for _, h := range hosts {
		addresses[h.Name] = setup.AgentAddress{Name: h.Name, Listen: h.Listen, Peer: h.Peer}
		leaving[h.Name] = h.Leaving
		groups[h.Group] = append(groups[h.Group], h.Name)
	}
	selected := map[string]bool{}
	for _, names := range groups {
		for _, name := range route.Subset(e.process, names, e.settings.MaxAgents) {
			selected[name] = true
		}
	}
	for _, p := range e.settings.StaticAgents {
		selected[p.Name] = true
	}
	e.agentConns.mu.Lock()
	defer e.agentConns.mu.Unlock()
	for name := range selected {
		e.addConn(ctx, addresses[name])
	}
	if hosts != nil {
		e.removeConns(selected)
	}
	e.table.SetLeaving(leaving)
}

// addConn opens a connection, or replaces it if the address of its agent changed.
func (e *Entry) addConn(ctx context.Context, a setup.AgentAddress) {
	old, ok := e.agentConns.byName[a.Name]
	if ok && old.address == a {
		return
	}
	if ok {
		old.cancel()
	}
	connCtx, cancel := context.WithCancel(ctx)
	c := &agentConn{
		address:  a,
		client:   peer.NewClient(a.Peer, e.settings.Token, syncTimeout),
		cancel:   cancel,
		syncNow:  make(chan struct{}, 1),
		openedAt: time.Now(),
	}
	e.agentConns.byName[a.Name] = c
	e.agentConns.group.Add(1)
	go func() {
		defer e.agentConns.group.Done()
		e.syncLoop(connCtx, c)
	}()
}

// removeConns closes the connections to agents that are not selected any more.
func (e *Entry) removeConns(selected map[string]bool) {
	for name, c := range e.agentConns.byName {
		if !selected[name] {
			c.cancel()
			delete(e.agentConns.byName, name)
			e.table.MarkUnreachable(name)
		}
	}
}

func (e *Entry) syncLoop(ctx context.Context, c *agentConn) {
	defer c.client.Close()
	ticker := time.NewTicker(e.settings.SyncInterval)
	defer ticker.Stop()
	for {
		e.syncAgent(c)
		var soon <-chan time.Time
		if !c.reached.Load() && time.Since(c.openedAt) < settlePeriod {
			soon = time.After(firstSyncInterval) // An agent that starts beside the entry listens soon.
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-soon:
		case <-c.syncNow:
		}
	}
}

// syncAgent exchanges state, crash records and, if one side has an older one,
// the configuration.
func (e *Entry) syncAgent(c *agentConn) {
	now := time.Now()
	req := &wire.SyncRequest{
		Entry:      e.process,
		Generation: e.config.Generation(),
		Marks:      wire.CrashRecordsToProto(now, e.crashRecords.List(now)),
	}
	if d := e.config.Get(); d != nil && c.generation < d.Generation {
		if data, err := wire.EncodeDocument(d); err == nil {
			req.Document = data
		}
	}
	reply, err := c.client.Sync(req)
	if err != nil {
		c.generation = 0 // The agent may restart without a configuration.
		e.table.MarkUnreachable(c.address.Name)
		return
	}
	c.generation = reply.GetState().GetGeneration()
	e.applyState(reply.GetState())
	c.reached.Store(true)
	if len(reply.GetDocument()) > 0 {
		e.applyDocument(time.Now(), sourceAgent, reply.GetDocument())
	}
}

// applyState records an agent's state; nil is ignored.
func (e *Entry) applyState(s *wire.AgentState) {
	if s == nil {
		return
	}
	now := time.Now()
	e.crashRecords.Merge(now, wire.CrashRecordsFromProto(now, s.GetMarks()))
	e.table.Update(now, wire.AgentFromProto(s))
	e.agentStates.Store(s.GetName(), s)
}

// agentAddress returns the address at which an agent accepts jobs.
func (e *Entry) agentAddress(name string) (string, bool) {
	e.agentConns.mu.Lock()
	defer e.agentConns.mu.Unlock()
	c, ok := e.agentConns.byName[name]
	if !ok {
		return "", false
	}
	return c.address.Listen, true
}

// syncAll triggers a sync with every agent at once.
func (e *Entry) syncAll() {
	e.agentConns.mu.Lock()
	defer e.agentConns.mu.Unlock()
	for _, c := range e.agentConns.byName {
		select {
		case c.syncNow <- struct{}{}:
		default:
		}
	}
}
