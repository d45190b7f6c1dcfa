// Package entry is the daemon that callers connect to. It stores nothing: it finds
// the partner, team and class of a request, chooses an agent, forwards the
// response and counts the outcome.
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

// Kind classifies the errors of this package.
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
	// maxMissedSyncs is how many syncs an agent may miss before it gets no
	// requests.
	maxMissedSyncs = 6
	usageInterval  = 5 * time.Second
	// unreadyPeriod is how long a stopping entry still serves new requests after
	// its readiness check has begun to fail, so that the load balancer notices.
	unreadyPeriod = 2 * time.Second
	serverName    = "cactustide"
)

// Entry is the daemon's state.
type Entry struct {
	settings *setup.Settings
	// process is the id of this process: its name and a random suffix.
	process       string
	log           *meter.Logger
	scope         tally.Scope
	scrapeHandler fasthttp.RequestHandler
	platform      *store.Client
	jobClient     *fasthttp.Client
	// applying is held while a document and its index are put in force.
	applying     sync.Mutex
	config       config.Holder
	configIndex  atomic.Pointer[configIndex]
	document     *documentCopy
	table        *route.Table
	crashRecords *retry.CrashRecords
	unused       unusedConns
	retryBudget  *retry.Budget
	limiter      *teamLimiter
	counters     *usage.Counters
	burn         *burn.Meter
	agentConns   agentConns
	// agentStates holds the last wire.AgentState of each agent by name.
	agentStates sync.Map

	stopping     atomic.Bool
	streams      sync.WaitGroup
	callerServer *fasthttp.Server
	adminServer  *fasthttp.Server
	servers      sync.WaitGroup
	cancel       context.CancelFunc
	// ending ends when the entry is closed.
	ending   context.Context
	group    *errgroup.Group
	sequence atomic.Uint64
}

// New returns an entry. Start runs it.
func New(s *setup.Settings, log *meter.Logger, m *meter.Metrics) *Entry {
	e := &Entry{
		settings:      s,
		process:       s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36),
		log:           log,
		scope:         m.Scope,
		scrapeHandler: m.ScrapeHandler,
		platform:      store.New(s.Platform),
		document:      &documentCopy{},
		jobClient:     newJobClient(s.ProgressTimeout),
		table:         route.New(maxMissedSyncs * s.SyncInterval),
		crashRecords:  retry.NewCrashRecords(),
		retryBudget:   retry.NewBudget(),
		limiter:       newTeamLimiter(),
		counters:      usage.New(),
		burn:          burn.New(),
		agentConns:    agentConns{byName: map[string]*agentConn{}},
	}
	e.platform.OnCall = m.CountPlatformCall
	return e
}

// Start opens the listeners and starts the background loops. It returns an
// *Error if a listener cannot be opened.
func (e *Entry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.ending = cancel, ctx
	e.group, ctx = errgroup.WithContext(ctx)
	if err := e.listen(); err != nil {
		cancel()
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	e.group.Go(func() error { return e.watchDocument(ctx) })
	e.group.Go(func() error { return e.watchHosts(ctx) })
	e.group.Go(func() error { return e.usageLoop(ctx) })
	e.log.Infof("listening on %s as %s", e.settings.Listen, e.process)
	return nil
}

func (e *Entry) listen() error {
	callerListener, err := dial.Listen(e.settings.Listen)
	if err != nil {
		return err
	}
	adminListener, err := dial.Listen(e.settings.Admin)
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	e.callerServer = &fasthttp.Server{
		Name:               serverName,
		Logger:             e.log,
		Handler:            e.handle,
		ErrorHandler:       e.handleError,
		MaxRequestBodySize: int(e.settings.MaxBodyBytes),
		CloseOnShutdown:    true,
		ConnState:          e.unused.track,
	}
	e.adminServer = &fasthttp.Server{Name: serverName, Logger: e.log, Handler: e.handleAdmin, CloseOnShutdown: true}
	e.servers.Go(func() {
		if e.settings.CertFile != "" {
			_ = e.callerServer.ServeTLS(callerListener, e.settings.CertFile, e.settings.KeyFile)
			return
		}
		_ = e.callerServer.Serve(callerListener)
	})
	e.servers.Go(func() { _ = e.adminServer.Serve(adminListener) })
	return nil
}

// handleError answers requests that fasthttp could not read.
func (e *Entry) handleError(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge {
		discardBody(ctx.Conn())
		(&APIError{
			Status:    fasthttp.StatusRequestEntityTooLarge,
			Code:      "large",
			Message:   fmt.Sprintf("the body is larger than the limit of %d bytes", e.settings.MaxBodyBytes),
			Param:     "body",
			Execution: ExecutionNone,
		}).write(ctx, e.newRequestID())
		return
	}
	invalidRequest("request", "the request could not be read: "+err.Error()).write(ctx, e.newRequestID())
}

const (
	// discardReadTimeout is the longest wait for more data of an oversized body,
	// and discardTimeout the longest time spent on discarding it.
	discardReadTimeout = 100 * time.Millisecond
	discardTimeout     = 2 * time.Second
)

// discardBody reads what a caller still sends. Closing a connection with unread
// bytes resets it, and the caller would not receive the response.
func discardBody(conn net.Conn) {
	buffer := make([]byte, 64<<10)
	for deadline := time.Now().Add(discardTimeout); time.Now().Before(deadline); {
		if err := conn.SetReadDeadline(time.Now().Add(discardReadTimeout)); err != nil {
			return
		}
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func (e *Entry) newRequestID() string {
	return e.process + "-" + strconv.FormatUint(e.sequence.Add(1), 36)
}

// usageLoop calls writeUsage at each usageInterval until the context ends.
func (e *Entry) usageLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(usageInterval):
			e.writeUsage()
		}
	}
}

// writeUsage writes the usage counters of this process to the platform's service.
func (e *Entry) writeUsage() {
	if err := wire.PutUsage(e.platform, e.settings.Prefix, e.process, e.counters.Snapshot()); err != nil {
		e.log.Warnf("writing the usage counters failed: %v", err)
	}
}

// Drain lets the readiness check fail, and after unreadyPeriod stops accepting
// requests and waits for those in progress, at most timeout.
func (e *Entry) Drain(timeout time.Duration) {
	e.stopping.Store(true)
	time.Sleep(unreadyPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	done := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() { e.unused.closeUntil(done) })
	if err := e.callerServer.ShutdownWithContext(ctx); err != nil {
		e.log.Warnf("requests still in progress after %v", timeout)
	}
	close(done)
	closing.Wait()
}

// Close stops the servers and loops, waits for them and writes the usage counters
// a last time.
func (e *Entry) Close() {
	_ = e.callerServer.Shutdown()
	e.streams.Wait()
	_ = e.adminServer.Shutdown()
	e.servers.Wait()
	e.cancel()
	_ = e.group.Wait()
	e.agentConns.group.Wait()
	e.writeUsage()
	e.jobClient.CloseIdleConnections()
}
