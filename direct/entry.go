package direct

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"cactustide/conn"
	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/place"
	"cactustide/quota"
	"cactustide/relay"
	"cactustide/retry"
	"cactustide/rules"
	"cactustide/setup"
	"cactustide/store"
)

const (
	// headReadTimeout bounds the time to read a request's head whatever the
	// configuration says; connTracker applies the configured one, which may change.
	headReadTimeout = time.Minute
	// maxHeadBytes bounds a request's head, also while no configuration is in force.
	maxHeadBytes = 64 << 10
	// memoryLimitFraction is the fraction of the memory that is set as the garbage
	// collector's soft limit.
	memoryLimitFraction = 0.6
	// bodyMemoryFraction is the fraction of the memory for request bodies in progress.
	bodyMemoryFraction = 0.25
	// responseMemoryFraction is the fraction for responses that are read before they are
	// passed on.
	responseMemoryFraction = 0.15
	// callerSocketFraction is the fraction of the sockets for callers; the rest is for
	// upstreams, peers and the store.
	callerSocketFraction = 0.6
	// sweepInterval is the time between two passes that close idle connections.
	sweepInterval = 250 * time.Millisecond
	// statusLogInterval is the time between two status lines in the log.
	statusLogInterval = 5 * time.Second
	// adminCloseTimeout bounds the wait for operators' requests at the end of a stop.
	adminCloseTimeout = 20 * time.Millisecond
)

// Entry is a running entry: the process that accepts callers' requests and
// forwards them to upstreams.
type Entry struct {
	settings      atomic.Pointer[setup.DirectSettings]
	headers       HeaderCodec
	codec         ItemCodec
	log           *meter.Logger
	scope         tally.Scope
	scrapeHandler fasthttp.RequestHandler
	store         *store.ListWatch
	rules         rules.Holder
	fleet         *fleet.Registry
	balancer      *place.Balancer
	pool          *conn.Pool
	budget        *retry.WindowBudget
	aborts        *retry.AbortTracker
	// requestEvidence and partEvidence hold what crashes upstreams; probing has the ids of
	// the upstreams to which a connection is being opened after an aborted exchange.
	requestEvidence *retry.Evidence
	partEvidence    *retry.Evidence
	quota           *quota.Ledger
	probing         sync.Map
	droppedLines    func() int64
	configOrigin    atomic.Pointer[configOrigin]
	adminServer     *fasthttp.Server
	gossiper        *relay.Gossiper
	itemCaches      []*itemCache
	// storeEra is the highest era that an answer of the store named to this entry.
	storeEra atomic.Uint64
	lags     []lag
	lateness *lateness
	// kept is the configuration in force, for peers that cannot read it from the store, and
	// keptLag since when a peer has a newer one that the store does not hold.
	kept    atomic.Pointer[keptConfig]
	keptLag lag
	// peerVersion is the highest version of the configuration that a peer had in force.
	peerVersion atomic.Uint64
	// behind has an element when the entry has fallen behind a peer.
	behind chan struct{}
	// relist is set, by prefix, when a peer has other items at the same position.
	relist    []atomic.Bool
	duty      *watchDuty
	createdAt time.Time
	join      *peerJoin
	origins   *originTracker
	// limitCursor is the place in the list of limits of the next one in a full message.
	limitCursor    int
	bodyMemory     memoryLimiter
	responseMemory memoryLimiter
	callerConns    connTracker

	stopping atomic.Bool
	// refusing is set while new requests are answered with 503.
	refusing atomic.Bool
	// stopPlan is set while the entry stops; endRequests ends the context ending, with
	// which the requests in progress end.
	stopPlan    atomic.Pointer[stopPlan]
	ending      context.Context
	endRequests context.CancelFunc
	// active counts the requests in progress.
	active       atomic.Int64
	callerServer *http.Server
	readyServer  *http.Server
	servers      sync.WaitGroup
	cancel       context.CancelFunc
	group        *errgroup.Group
}

// New returns an entry that is not running. Start runs it.
func New(s *setup.DirectSettings, headers HeaderCodec, codec ItemCodec, client *store.ListWatch, logger *meter.Logger, m *meter.Metrics) *Entry {
	process := rand.Uint64()
	e := &Entry{
		headers:         headers,
		codec:           codec,
		log:             logger,
		scope:           m.Scope,
		scrapeHandler:   m.ScrapeHandler,
		store:           client,
		fleet:           fleet.NewRegistry(),
		balancer:        place.New(place.Settings{RecomputeWindow: s.RecomputeWindow}),
		pool:            conn.NewPool(),
		budget:          retry.NewWindowBudget(time.Now(), s.RetryRatio, s.RetrySlack, s.RetryWindow),
		aborts:          retry.NewAbortTracker(),
		requestEvidence: retry.NewRequestEvidence(),
		partEvidence:    retry.NewPartEvidence(),
		quota:           quota.NewLedger(),
		droppedLines:    func() int64 { return 0 },
		bodyMemory:      memoryLimiter{limit: int64(bodyMemoryFraction * float64(s.MemoryBytes))},
		responseMemory:  memoryLimiter{limit: int64(responseMemoryFraction * float64(s.MemoryBytes))},
		callerConns:     connTracker{idleSince: map[net.Conn]time.Time{}, awaitingHead: map[*callerConn]struct{}{}, limit: int(callerSocketFraction * float64(s.MaxSockets))},
		gossiper:        relay.New(time.Now(), s.Name, s.Centre, s.Peer, s.Seeds, process, logger),
		lags:            make([]lag, len(codec.Prefixes)),
		lateness:        newLateness(time.Now()),
		behind:          make(chan struct{}, 1),
		relist:          make([]atomic.Bool, len(codec.Prefixes)),
		duty:            newWatchDuty(s.ApplyTimeout),
		createdAt:       time.Now(),
		join:            newPeerJoin(time.Now(), s.First || len(s.Seeds) == 0),
		origins:         newOriginTracker(time.Now(), s.First, len(codec.Prefixes)),
	}
	e.ending, e.endRequests = context.WithCancel(context.Background())
	e.settings.Store(s)
	for range codec.Prefixes {
		e.itemCaches = append(e.itemCaches, newItemCache())
	}
	if client != nil {
		client.OnEra = e.recordEra
	}
	e.gossiper.OnGossip = e.handleGossip
	e.gossiper.Version = e.rules.Version
	e.gossiper.Positions = e.positions
	e.gossiper.Snapshot = e.snapshot
	e.gossiper.CacheState = e.cacheState
	e.gossiper.Limits = e.limitsInTurn
	e.gossiper.OnPeerUp = e.joinPeer
	return e
}

// SetDropCounter sets the function that returns the number of dropped log lines.
// It must be called before Start.
func (e *Entry) SetDropCounter(dropped func() int64) { e.droppedLines = dropped }

// Reload applies the settings that can change while the process runs: seeds, the
// stop timeout and the retry budget. It logs a warning if changed addresses need a
// restart.
func (e *Entry) Reload(now time.Time, s *setup.DirectSettings) {
	e.gossiper.AddSeeds(now, s.Seeds)
	e.budget.Set(s.RetryRatio, s.RetrySlack)
	old := e.settings.Swap(s)
	logger := e.log.With("seeds", len(s.Seeds)).With("ratio", s.RetryRatio).With("slack", s.RetrySlack)
	if old.Listen != s.Listen || old.Readiness != s.Readiness || old.Peer != s.Peer || old.Admin != s.Admin || old.Store != s.Store {
		logger.Warnf("settings reloaded; changed addresses take effect after a restart")
		return
	}
	logger.Infof("settings reloaded")
}

// Start opens the listeners and starts the background loops.
func (e *Entry) Start() error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(e.settings.Load().MemoryBytes)))
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group, ctx = errgroup.WithContext(ctx)
	if err := e.listen(); err != nil {
		cancel()
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if err := e.gossiper.Start(); err != nil {
		cancel()
		_ = e.callerServer.Close() // The first error is the cause.
		_ = e.readyServer.Close()
		return err
	}
	for i := range e.codec.Prefixes {
		e.group.Go(func() error { return e.watchPrefix(ctx, i) })
	}
	e.group.Go(func() error { return e.sweep(ctx) })
	e.group.Go(func() error { return e.catchUp(ctx) })
	e.group.Go(func() error { return e.keepRecords(ctx) })
	e.log.Infof("listening on %s, readiness on %s", e.settings.Load().Listen, e.settings.Load().Readiness)
	return nil
}

func (e *Entry) listen() error {
	callers, err := net.Listen("tcp", e.settings.Load().Listen)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", e.settings.Load().Readiness)
	if err != nil {
		_ = callers.Close() // The first error is the cause.
		return err
	}
	errorLog := log.New(libraryLog{e.log}, "", 0)
	e.callerServer = &http.Server{
		Handler:           http.HandlerFunc(e.handle),
		ReadHeaderTimeout: headReadTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         e.callerConns.trackState,
		ConnContext:       withCallerConn,
		ErrorLog:          errorLog,
	}
	e.readyServer = &http.Server{
		Handler:           http.HandlerFunc(e.handleReady),
		ReadHeaderTimeout: headReadTimeout,
		ErrorLog:          errorLog,
	}
	if e.settings.Load().Admin != "" {
		admin, err := net.Listen("tcp", e.settings.Load().Admin)
		if err != nil {
			_ = callers.Close() // The first error is the cause.
			_ = ready.Close()
			return err
		}
		e.adminServer = &fasthttp.Server{Name: "cactustide", Logger: e.log, Handler: e.handleAdmin, CloseOnShutdown: true}
		e.servers.Go(func() {
			if err := e.adminServer.Serve(admin); err != nil {
				e.log.Errorf("admin listener failed: %v", err)
			}
		})
	}
	e.servers.Go(func() { e.logServe(e.callerServer.Serve(callerListener{callers})) })
	e.servers.Go(func() { e.logServe(e.readyServer.Serve(ready)) })
	return nil
}

func (e *Entry) logServe(err error) {
	if err != http.ErrServerClosed {
		e.log.Errorf("listener failed: %v", err)
	}
}

// libraryLog writes the HTTP library's messages to the log.
type libraryLog struct{ log *meter.Logger }

func (l libraryLog) Write(p []byte) (int, error) {
	l.log.Printf("%s", p)
	return len(p), nil
}

func (e *Entry) handleReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != e.headers.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the entry should receive traffic.
func (e *Entry) isReady() bool {
	return !e.stopping.Load() && e.rules.Get() != nil && e.fleet.Count() > 0 && !e.callerConns.isFull()
}

// sweep periodically closes idle connections, removes upstreams whose registration
// expired and logs the status.
func (e *Entry) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var lastStatus time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(lastStatus) >= statusLogInterval {
				lastStatus = now
				e.logStatus(now)
			}
			e.pool.Sweep(now)
			e.updateStoreAge(now)
			e.observeReleases(now)
			e.fleet.ForgetRefused(now.Add(-e.copyAge(now)))
			e.updateMemoryUses()
			for _, id := range e.fleet.Expire(now) {
				e.balancer.Forget(id)
				e.log.With("upstream", id).Infof("removed an upstream that did not register again after the store outage")
			}
			e.quota.Expire(now, e.isCurrent)
			if t := e.rules.Get(); t != nil {
				e.callerConns.sweep(now, t.Document.Limits.IdleTimeout, t.Document.Limits.HeaderTimeout)
			}
		}
	}
}

// updateStoreAge updates the metrics of the time since the store last had nothing newer, and of
// its era.
func (e *Entry) updateStoreAge(now time.Time) {
	for i, c := range e.itemCaches {
		if age, ok := c.confirmedAge(now); ok {
			e.scope.Tagged(map[string]string{"prefix": e.codec.Prefixes[i]}).Gauge("store_age").Update(age.Seconds())
		}
		position, _ := c.state()
		e.scope.Tagged(map[string]string{"prefix": e.codec.Prefixes[i]}).Gauge("store_era").Update(float64(position.Era))
	}
}

// logStatus logs the latency estimates and the retry budget of each service.
func (e *Entry) logStatus(now time.Time) {
	t := e.rules.Get()
	if t == nil {
		return
	}
	watcher, _ := e.watchRole(now)
	for _, s := range t.Document.Services {
		estimates := e.balancer.Estimates(s.Name)
		e.log.With("service", s.Name).With("version", t.Document.Version).
			With("scale", strconv.FormatFloat(estimates.PrefillScale, 'f', 2, 64)).
			With("base", estimates.FirstTokenOverhead.Milliseconds()).With("step", estimates.DecodeStep.Microseconds()).With("work", estimates.PlainLatency.Milliseconds()).
			With("budget", int(e.budget.Balance(now, s.Name, e.entryCount()))).With("entries", e.AliveEntries()).
			With("connections", e.pool.Opened()).With("watcher", watcher).With("lost", e.gossiper.Dropped()).Infof("status")
	}
}

// Close stops the servers and loops, waits for them and logs how long each step took.
func (e *Entry) Close() {
	logger := e.log
	begin := time.Now()
	step := func(name string) {
		logger = logger.With(name, time.Since(begin).Milliseconds())
		begin = time.Now()
	}
	e.endRequests()
	_ = e.callerServer.Close() // Closing twice is harmless.
	_ = e.readyServer.Close()
	if e.adminServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
		_ = e.adminServer.ShutdownWithContext(ctx) // What is left ends with the process.
		cancel()
	}
	e.servers.Wait()
	step("servers")
	e.cancel()
	_ = e.group.Wait() // The loops return no errors.
	step("loops")
	e.gossiper.Close()
	step("gossip")
	e.pool.Close()
	step("pool")
	logger.Infof("closed")
}
