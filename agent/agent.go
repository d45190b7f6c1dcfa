// Package agent is the daemon in front of one upstream and the only way to reach
// it. It decides on admission, order, fair sharing and draining, claims the calls
// that must run at most once, and tracks what its upstream runs.
package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cactustide/claim"
	"cactustide/config"
	"cactustide/meter"
	"cactustide/peer"
	"cactustide/retry"
	"cactustide/sched"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/usage"
	"cactustide/wire"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen   Kind = "listen"
	KindPlatform Kind = "platform"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "agent: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	expiryInterval        = 10 * time.Millisecond
	healthInterval        = 500 * time.Millisecond
	incarnationRetryDelay = time.Second
	usageInterval         = 5 * time.Second
	timePerTokenWeight    = 0.1 // Weight of a new sample in the moving average.
)

// Agent is the daemon's state.
type Agent struct {
	settings *setup.Settings
	// process is the id of this process: its name and a random suffix.
	process      string
	log          *meter.Logger
	scope        tally.Scope
	platform     *store.Client
	claims       claim.Store
	upstream     *upstream
	queue        *admissionQueue
	crashRecords *retry.CrashRecords
	// applying is held while a document and what follows from it are put in force.
	applying sync.Mutex
	config   config.Holder
	// effective is the document with its preset applied.
	effective atomic.Pointer[config.Document]
	// incarnation is the fencing token; 0 until the platform has assigned one.
	incarnation atomic.Uint64
	healthy     atomic.Bool
	stopping    atomic.Bool
	// timePerToken is the moving average of the time per output token,
	// microseconds; 0 means that there is no sample yet.
	timePerToken atomic.Int64
	executions   executions
	counters     *usage.Counters

	servers servers
	cancel  context.CancelFunc
	group   *errgroup.Group
}

// New returns an agent. Start runs it.
func New(s *setup.Settings, log *meter.Logger, m *meter.Metrics) *Agent {
	a := &Agent{
		settings:     s,
		process:      s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36),
		log:          log,
		scope:        m.Scope,
		platform:     store.New(s.Platform),
		crashRecords: retry.NewCrashRecords(),
		counters:     usage.New(),
		executions:   executions{cancels: map[string]context.CancelFunc{}},
	}
	a.upstream = newUpstream(s.Upstream, s.MaxResponseBytes, a.incarnation.Load)
	a.platform.OnCall = m.CountPlatformCall
	a.claims = wire.NewClaimStore(a.platform, s.Prefix)
	a.queue = newAdmissionQueue(sched.Policy{Slots: s.Upstream.Slots, QueueLimit: s.Upstream.QueueLimit})
	a.servers.scrapeHandler = m.ScrapeHandler
	return a
}

// Start opens the listeners and starts the background loops. It returns an
// *Error if a listener cannot be opened.
func (a *Agent) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.group, ctx = errgroup.WithContext(ctx)
	if err := a.listen(); err != nil {
		cancel()
		return err
	}
	err := a.upstream.checkHealth()
	a.healthy.Store(err == nil)
	if err != nil {
		a.log.Warnf("upstream is not healthy: %v", err)
	}
	a.group.Go(func() error { return a.queue.expireLoop(ctx) })
	a.group.Go(func() error { return every(ctx, healthInterval, a.checkHealth) })
	a.group.Go(func() error { return a.acquireIncarnation(ctx) })
	a.group.Go(func() error { return every(ctx, usageInterval, a.writeUsage) })
	a.log.Infof("listening on %s for upstream %s", a.settings.Listen, a.settings.Upstream.Address)
	return nil
}

// every calls f at each interval until the context ends. It returns nil.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

// Drain refuses new requests and waits until none runs, at most timeout.
func (a *Agent) Drain(timeout time.Duration) {
	a.applying.Lock() // A document that is put in force meanwhile must not end the drain.
	a.stopping.Store(true)
	a.queue.setDraining(true)
	a.applying.Unlock()
	idle := make(chan struct{})
	go func() {
		a.queue.waitIdle()
		close(idle)
	}()
	select {
	case <-idle:
		a.log.Infof("no request in progress")
	case <-time.After(timeout):
		a.log.Warnf("requests still in progress after %v", timeout)
	}
}

// Close stops the servers and loops and waits for them.
func (a *Agent) Close() {
	a.servers.close()
	a.cancel()
	_ = a.group.Wait()
	a.writeUsage()
	a.upstream.close()
}

// applyConfig puts a document in force if it is newer.
func (a *Agent) applyConfig(d *config.Document) {
	a.applying.Lock()
	defer a.applying.Unlock()
	if !a.config.Adopt(d) {
		return
	}
	current := a.config.Get()
	effective := current.Effective()
	a.effective.Store(effective)
	a.queue.setPolicy(policyOf(effective, a.settings.Upstream))
	a.queue.setDraining(a.stopping.Load() || current.IsDrained(a.settings.Name))
	a.scope.Gauge("generation").Update(float64(current.Generation))
	a.log.Infof("applied configuration generation %d, preset %s", current.Generation, current.Preset)
}

func policyOf(d *config.Document, u setup.Upstream) sched.Policy {
	p := sched.Policy{
		Slots:      u.Slots,
		QueueLimit: u.QueueLimit,
		Classes:    map[string]sched.Class{},
		Shares:     map[string]float64{},
	}
	for _, c := range d.Classes {
		p.Classes[c.Name] = sched.Class{Tier: c.Tier, Floor: c.Floor, Cap: c.Cap}
	}
	for _, x := range d.Partners {
		p.Shares[x.Name] = x.Share
	}
	return p
}

// checkHealth checks the upstream. While it is unhealthy, the idle connections are
// closed and the queued requests refused, so that entries send them elsewhere.
func (a *Agent) checkHealth() {
	err := a.upstream.checkHealth()
	healthy := err == nil
	switch changed := a.healthy.Swap(healthy) != healthy; {
	case changed && healthy:
		a.log.Warnf("upstream health changed, healthy: true")
	case changed:
		a.log.Warnf("upstream health changed, healthy: false: %v", err)
	}
	if !healthy {
		a.upstream.closeIdle()
		a.queue.refuseQueued(ReasonDown)
	}
}

// writeUsage writes the usage counters of this process to the platform's service.
func (a *Agent) writeUsage() {
	if err := wire.PutUsage(a.platform, a.settings.Prefix, a.process, a.counters.Snapshot()); err != nil {
		a.log.Warnf("writing the usage counters failed: %v", err)
	}
}

// state returns the agent's state as sent to entries.
func (a *Agent) state(now time.Time) *wire.AgentState {
	q := a.queue.state()
	s := &wire.AgentState{
		Name:        a.settings.Name,
		Incarnation: a.incarnation.Load(),
		Generation:  a.config.Generation(),
		Centre:      a.settings.Centre,
		Model:       a.settings.Upstream.Model,
		Service:     a.settings.Upstream.Service,
		Slots:       int32(q.slots),
		Running:     int32(q.running),
		Room:        int32(q.queueSpace),
		Drain:       q.draining,
		Healthy:     a.healthy.Load(),
		Pace:        a.timePerToken.Load(),
		Marks:       wire.CrashRecordsToProto(now, a.crashRecords.List(now)),
	}
	for _, n := range q.queued {
		s.Queued = append(s.Queued, int32(n))
	}
	for _, class := range slices.Sorted(maps.Keys(q.classes)) {
		s.Classes = append(s.Classes, &wire.ClassQueue{Class: class, Queued: int32(q.classes[class])})
	}
	if d := a.config.Get(); d != nil {
		s.Preset = d.Preset
	}
	return s
}

// sync answers an entry's sync request.
func (a *Agent) sync(req *wire.SyncRequest) *wire.SyncReply {
	now := time.Now()
	a.crashRecords.Merge(now, wire.CrashRecordsFromProto(now, req.GetMarks()))
	if len(req.GetDocument()) > 0 {
		d, err := wire.DecodeDocument(req.GetDocument())
		if err != nil {
			a.log.Errorf("decoding the configuration document from %s failed: %v", req.GetEntry(), err)
		} else {
			a.applyConfig(d)
		}
	}
	reply := &wire.SyncReply{State: a.state(now)}
	if current := a.config.Get(); current != nil && current.Generation > req.GetGeneration() {
		data, err := wire.EncodeDocument(current)
		if err == nil {
			reply.Document = data
		}
	}
	return reply
}

// cancelJob cancels a request. Only a request that was still queued is known not to
// have run: an unknown one may have ended, or may not have arrived yet.
func (a *Agent) cancelJob(req *wire.CancelRequest) *wire.CancelReply {
	unstarted := a.queue.cancel(req.GetId())
	a.executions.cancel(req.GetId())
	if unstarted {
		return &wire.CancelReply{Run: wire.Execution_NONE}
	}
	return &wire.CancelReply{Run: wire.Execution_MAYBE}
}

// executions holds the cancel functions of the jobs that are being executed.
type executions struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func (e *executions) add(id string, cancel context.CancelFunc) {
	e.mu.Lock()
	e.cancels[id] = cancel
	e.mu.Unlock()
}

func (e *executions) remove(id string) {
	e.mu.Lock()
	delete(e.cancels, id)
	e.mu.Unlock()
}

// cancel cancels an execution, if it is in progress.
func (e *executions) cancel(id string) {
	e.mu.Lock()
	cancel, ok := e.cancels[id]
	e.mu.Unlock()
	if ok {
		cancel()
	}
}

// listen opens the listeners for jobs, operators and control messages.
func (a *Agent) listen() error {
	if err := a.servers.listenJobs(a); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if err := a.servers.listenAdmin(a); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	server, err := peer.Listen(a.settings.Peer, a.settings.Token, peer.Handler{Sync: a.sync, Cancel: a.cancelJob})
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	a.servers.peer = server
	return nil
}
