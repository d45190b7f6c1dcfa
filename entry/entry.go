// Package entry is the daemon that callers talk to. It keeps nothing: it finds
// a request's partner, team and class, chooses an agent, passes the answer on
// and counts the outcome.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"cactustide/burn"
	"cactustide/config"
	"cactustide/dial"
	"cactustide/meter"
	"cactustide/retry"
	"cactustide/route"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/usage"
	"cactustide/wire"
)

// Kind tells the errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "entry: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// staleSyncs is how many syncs an agent may miss before it gets no work.
	staleSyncs    = 6
	watchWait     = 30 * time.Second
	watchRetry    = 500 * time.Millisecond
	usageInterval = 5 * time.Second
	// settleTime is how long a stopping entry stays open after it stopped being
	// ready, so that the balancer notices.
	settleTime = 2 * time.Second
	serverName = "cactustide"
)

// Entry is the daemon's state.
type Entry struct {
	settings *setup.Settings
	// process names this run of the daemon.
	process  string
	log      *meter.Logger
	scope    tally.Scope
	scrape   fasthttp.RequestHandler
	platform *store.Client
	jobs     *fasthttp.Client
	config   config.Holder
	view     atomic.Pointer[view]
	table    *route.Table
	marks    *retry.CrashRecords
	budget   *retry.Budget
	limits   *limits
	book     *usage.Counters
	burn     *burn.Meter
	links    links
	// states holds the last wire.State of each agent by name.
	states sync.Map

	stopping atomic.Bool
	streams  sync.WaitGroup
	callers  *fasthttp.Server
	admin    *fasthttp.Server
	serving  sync.WaitGroup
	cancel   context.CancelFunc
	group    *errgroup.Group
	sequence atomic.Uint64
}

// New returns an entry. Start runs it.
func New(s *setup.Settings, log *meter.Logger, m *meter.Metrics) *Entry {
	e := &Entry{
		settings: s,
		process:  s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36),
		log:      log,
		scope:    m.Scope,
		scrape:   m.ScrapeHandler,
		platform: store.New(s.Platform),
		jobs:     newJobClient(s.Progress),
		table:    route.New(staleSyncs * s.Sync),
		marks:    retry.NewCrashRecords(),
		budget:   retry.NewBudget(),
		limits:   newLimits(),
		book:     usage.New(),
		burn:     burn.New(),
		links:    links{byID: map[string]*link{}},
	}
	e.platform.OnCall = m.CountPlatformCall
	return e
}

// Start listens and starts the loops.
func (e *Entry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group, ctx = errgroup.WithContext(ctx)
	if err := e.listen(); err != nil {
		cancel()
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	e.group.Go(func() error { return e.watchDocument(ctx) })
	e.group.Go(func() error { return e.watchHosts(ctx) })
	e.group.Go(func() error { return e.writeUsage(ctx) })
	e.log.Infof("listening on %s as %s", e.settings.Listen, e.process)
	return nil
}

func (e *Entry) listen() error {
	callers, err := dial.Listen(e.settings.Listen)
	if err != nil {
		return err
	}
	admin, err := dial.Listen(e.settings.Admin)
	if err != nil {
		_ = callers.Close()
		return err
	}
	e.callers = &fasthttp.Server{
		Name:               serverName,
		Logger:             e.log,
		Handler:            e.handle,
		ErrorHandler:       e.handleError,
		MaxRequestBodySize: int(e.settings.Body),
		CloseOnShutdown:    true,
	}
	e.admin = &fasthttp.Server{Name: serverName, Logger: e.log, Handler: e.handleAdmin, CloseOnShutdown: true}
	e.serving.Go(func() {
		if e.settings.Cert != "" {
			_ = e.callers.ServeTLS(callers, e.settings.Cert, e.settings.Key)
			return
		}
		_ = e.callers.Serve(callers)
	})
	e.serving.Go(func() { _ = e.admin.Serve(admin) })
	return nil
}

// handleError answers requests that the library could not read.
func (e *Entry) handleError(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge {
		discardBody(ctx.Conn())
		(&APIError{
			Status:    fasthttp.StatusRequestEntityTooLarge,
			Code:      "large",
			Message:   fmt.Sprintf("the body is larger than the limit of %d bytes", e.settings.Body),
			Param:     "body",
			Execution: ExecutionNone,
		}).write(ctx, e.newID())
		return
	}
	invalid("request", "the request could not be read: "+err.Error()).write(ctx, e.newID())
}

const (
	// discardIdle is how long an oversized body may pause while it is discarded,
	// and discardLimit how long discarding may take in all.
	discardIdle  = 100 * time.Millisecond
	discardLimit = 2 * time.Second
)

// discardBody reads what a caller still sends. A connection that closes with
// unread bytes is reset, and the caller would never see the answer.
func discardBody(conn net.Conn) {
	buffer := make([]byte, 64<<10)
	for end := time.Now().Add(discardLimit); time.Now().Before(end); {
		if err := conn.SetReadDeadline(time.Now().Add(discardIdle)); err != nil {
			return
		}
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func (e *Entry) newID() string {
	return e.process + "-" + strconv.FormatUint(e.sequence.Add(1), 36)
}

// watchDocument adopts each newer configuration document of the platform.
func (e *Entry) watchDocument(ctx context.Context) error {
	var index uint64
	down := false
	for ctx.Err() == nil {
		pair, seen, err := e.watchOnce(ctx, index)
		if ctx.Err() != nil {
			return nil
		}
		e.logPlatform(&down, err)
		if err == nil && pair.Version != 0 {
			e.adoptEncoded(pair.Value)
		}
		if err == nil && seen > index {
			index = seen
			continue
		}
		if err != nil || seen < index {
			index = 0 // The service started anew, or may have.
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
	return nil
}

// logPlatform logs when the platform stops or starts answering.
func (e *Entry) logPlatform(down *bool, err error) {
	switch {
	case err != nil && !*down:
		e.log.Warnf("platform: %v", err)
	case err == nil && *down:
		e.log.Infof("platform answers again")
	}
	*down = err != nil
}

// watched is the result of one watch.
type watched struct {
	pair  store.Pair
	index uint64
	err   error
}

// watchOnce waits for a change of the document, or for the end of ctx. The call
// itself cannot be ended, so a stopping entry leaves it behind.
func (e *Entry) watchOnce(ctx context.Context, index uint64) (store.Pair, uint64, error) {
	results := make(chan watched, 1)
	go func() {
		pair, seen, err := e.platform.Watch(e.settings.Prefix+wire.DocumentKey, index, watchWait)
		results <- watched{pair: pair, index: seen, err: err}
	}()
	select {
	case r := <-results:
		return r.pair, r.index, r.err
	case <-ctx.Done():
		return store.Pair{}, 0, ctx.Err()
	}
}

func (e *Entry) adoptEncoded(data []byte) {
	d, err := wire.DecodeDocument(data)
	if err != nil {
		e.log.Errorf("document: %v", err)
		return
	}
	if !e.config.Adopt(d) {
		return
	}
	e.view.Store(newView(e.config.Get()))
	e.scope.Gauge("generation").Update(float64(d.Generation))
	e.log.Infof("generation %d, preset %s", d.Generation, d.Preset)
	e.kickLinks()
}

// writeUsage keeps this process's counters in the platform's service.
func (e *Entry) writeUsage(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(usageInterval):
			e.flushUsage()
		}
	}
}

func (e *Entry) flushUsage() {
	if err := wire.PutUsage(e.platform, e.settings.Prefix, e.process, e.book.Snapshot()); err != nil {
		e.log.Warnf("usage not written: %v", err)
	}
}

// Drain stops being ready, then waits for the requests in progress, at most
// limit.
func (e *Entry) Drain(limit time.Duration) {
	e.stopping.Store(true)
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := e.callers.ShutdownWithContext(ctx); err != nil {
		e.log.Warnf("requests still in progress after %v", limit)
	}
}

// Close stops the servers and loops and waits for them.
func (e *Entry) Close() {
	_ = e.callers.Shutdown()
	e.streams.Wait()
	_ = e.admin.Shutdown()
	e.serving.Wait()
	e.cancel()
	_ = e.group.Wait()
	e.links.group.Wait()
	e.flushUsage()
	e.jobs.CloseIdleConnections()
}
