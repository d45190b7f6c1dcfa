package entry

import (
	"context"
	"sync"
	"time"

	"cactustide/peer"
	"cactustide/route"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

const (
	syncLimit    = time.Second
	hostInterval = 2 * time.Second
	// agentService is the name of agents in the platform's list of hosts.
	agentService = "cactustide-agent"
)

// link is the control connection to one agent.
type link struct {
	address setup.AgentAddress
	client  *peer.Client
	cancel  context.CancelFunc
	// kick asks for a sync at once.
	kick chan struct{}
	// generation that the agent had at the last sync.
	generation uint64
}

// links holds the agents that this entry knows.
type links struct {
	mu    sync.Mutex
	byID  map[string]*link
	group sync.WaitGroup
}

// watchHosts keeps the links in step with the platform's list of hosts. While
// the platform is down the last list stays.
func (e *Entry) watchHosts(ctx context.Context) error {
	e.setHosts(ctx, nil)
	for {
		hosts, err := e.platform.Hosts(agentService)
		if err != nil {
			e.log.Debugf("no list of hosts: %v", err)
		} else {
			e.setHosts(ctx, hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(hostInterval):
		}
	}
}

// setHosts links the hosts of the list and of the settings, within the bound.
func (e *Entry) setHosts(ctx context.Context, hosts []store.Host) {
	known := map[string]setup.AgentAddress{}
	for _, p := range e.settings.StaticAgents {
		known[p.Name] = p
	}
	leaving := map[string]bool{}
	groups := map[string][]string{"": nil}
	for _, h := range hosts {
		known[h.Name] = setup.AgentAddress{Name: h.Name, Listen: h.Listen, Peer: h.Peer}
		leaving[h.Name] = h.Leaving
		groups[h.Group] = append(groups[h.Group], h.Name)
	}
	wanted := map[string]bool{}
	for _, names := range groups {
		for _, name := range route.Subset(e.process, names, e.settings.MaxAgents) {
			wanted[name] = true
		}
	}
	for _, p := range e.settings.StaticAgents {
		wanted[p.Name] = true
	}
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	for name := range wanted {
		e.addLink(ctx, known[name])
	}
	if hosts != nil {
		e.dropLinks(wanted)
	}
	e.table.SetLeaving(leaving)
}

// addLink starts a link, or replaces one whose agent has moved.
func (e *Entry) addLink(ctx context.Context, a setup.AgentAddress) {
	old, ok := e.links.byID[a.Name]
	if ok && old.address == a {
		return
	}
	if ok {
		old.cancel()
	}
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{
		address: a,
		client:  peer.NewClient(a.Peer, e.settings.Token, syncLimit),
		cancel:  cancel,
		kick:    make(chan struct{}, 1),
	}
	e.links.byID[a.Name] = l
	e.links.group.Add(1)
	go func() {
		defer e.links.group.Done()
		e.runLink(linkCtx, l)
	}()
}

// dropLinks ends the links to agents that left the list.
func (e *Entry) dropLinks(wanted map[string]bool) {
	for name, l := range e.links.byID {
		if !wanted[name] {
			l.cancel()
			delete(e.links.byID, name)
			e.table.MarkUnreachable(name)
		}
	}
}

func (e *Entry) runLink(ctx context.Context, l *link) {
	defer l.client.Close()
	ticker := time.NewTicker(e.settings.SyncInterval)
	defer ticker.Stop()
	for {
		e.syncWith(l)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.kick:
		}
	}
}

// syncWith exchanges state, marks and, if one side is behind, configuration.
func (e *Entry) syncWith(l *link) {
	now := time.Now()
	req := &wire.SyncRequest{
		Entry:      e.process,
		Generation: e.config.Generation(),
		Marks:      wire.CrashRecordsToProto(now, e.marks.List(now)),
	}
	if d := e.config.Get(); d != nil && l.generation < d.Generation {
		if data, err := wire.EncodeDocument(d); err == nil {
			req.Document = data
		}
	}
	reply, err := l.client.Sync(req)
	if err != nil {
		l.generation = 0 // The next process there may have nothing.
		e.table.MarkUnreachable(l.address.Name)
		return
	}
	l.generation = reply.GetState().GetGeneration()
	e.learn(reply.GetState())
	if len(reply.GetDocument()) > 0 {
		e.adoptEncoded(reply.GetDocument())
	}
}

// learn takes in an agent's state.
func (e *Entry) learn(s *wire.AgentState) {
	if s == nil {
		return
	}
	now := time.Now()
	e.marks.Merge(now, wire.CrashRecordsFromProto(now, s.GetMarks()))
	e.table.Update(now, wire.AgentFromProto(s))
	e.states.Store(s.GetName(), s)
}

// addressOf returns where an agent takes jobs.
func (e *Entry) addressOf(name string) (string, bool) {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	l, ok := e.links.byID[name]
	if !ok {
		return "", false
	}
	return l.address.Listen, true
}

// kickLinks asks every link for a sync at once.
func (e *Entry) kickLinks() {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	for _, l := range e.links.byID {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}
