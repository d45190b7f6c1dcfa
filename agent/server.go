package agent

import (
	"bufio"
	"bytes"
	"crypto/subtle"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
	"google.golang.org/protobuf/proto"

	"cactustide/dial"
	"cactustide/peer"
	"cactustide/wire"
)

const (
	pathJob      = "/job"
	pathHealth   = "/health"
	pathReady    = "/ready"
	pathMetrics  = "/metrics"
	pathProfile  = "/debug/pprof"
	bearerPrefix = "Bearer "
	// maxJobOverhead bounds a job's fields beside its body, bytes.
	maxJobOverhead = 64 << 10
	serverName     = "cactustide"
)

// servers are the agent's servers for entries and operators.
type servers struct {
	jobs          *fasthttp.Server
	admin         *fasthttp.Server
	peer          *peer.Server
	scrapeHandler fasthttp.RequestHandler
	wg            sync.WaitGroup
}

func (s *servers) serve(server *fasthttp.Server, address string) error {
	listener, err := dial.Listen(address)
	if err != nil {
		return err
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = server.Serve(listener)
	}()
	return nil
}

func (s *servers) listenJobs(a *Agent) error {
	s.jobs = &fasthttp.Server{
		Name:               serverName,
		Logger:             a.log,
		Handler:            a.handleJob,
		MaxRequestBodySize: int(a.settings.MaxBodyBytes) + maxJobOverhead,
		CloseOnShutdown:    true,
	}
	return s.serve(s.jobs, a.settings.Listen)
}

func (s *servers) listenAdmin(a *Agent) error {
	s.admin = &fasthttp.Server{Name: serverName, Logger: a.log, Handler: a.handleAdmin, CloseOnShutdown: true}
	return s.serve(s.admin, a.settings.Admin)
}

func (s *servers) close() {
	for _, server := range []*fasthttp.Server{s.jobs, s.admin} {
		if server != nil {
			_ = server.Shutdown()
		}
	}
	if s.peer != nil {
		s.peer.Close()
	}
	s.wg.Wait()
}

// handleJob decodes a job of an entry and streams its frames.
func (a *Agent) handleJob(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != pathJob || !ctx.IsPost() {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if !isAuthorized(ctx, a.settings.Token) {
		ctx.Error("wrong token", fasthttp.StatusUnauthorized)
		return
	}
	job := &wire.Job{}
	// Unmarshal copies, which is needed: fasthttp reuses the request's buffers.
	if err := proto.Unmarshal(ctx.PostBody(), job); err != nil {
		ctx.Error("bad job", fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		a.serveJob(job, func(f *wire.Frame, flush bool) error {
			if err := wire.WriteFrame(w, f); err != nil || !flush {
				return err
			}
			return w.Flush()
		})
	})
}

func isAuthorized(ctx *fasthttp.RequestCtx, token string) bool {
	got := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return subtle.ConstantTimeCompare(got, []byte(bearerPrefix+token)) == 1
}

// handleAdmin answers health, readiness, metrics and profiles.
func (a *Agent) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathHealth:
		ctx.SetBodyString("ok\n")
	case pathReady:
		a.handleReady(ctx)
	case pathMetrics:
		a.servers.scrapeHandler(ctx)
	default:
		a.handleProfile(ctx)
	}
}

// handleProfile serves the runtime's profiles to operators.
func (a *Agent) handleProfile(ctx *fasthttp.RequestCtx) {
	switch {
	case !bytes.HasPrefix(ctx.Path(), []byte(pathProfile)):
		ctx.Error("not found", fasthttp.StatusNotFound)
	case !isAuthorized(ctx, a.settings.OperatorToken):
		ctx.Error("wrong operator token", fasthttp.StatusUnauthorized)
	default:
		pprofhandler.PprofHandler(ctx)
	}
}

func (a *Agent) handleReady(ctx *fasthttp.RequestCtx) {
	if a.stopping.Load() || a.effective.Load() == nil || !a.healthy.Load() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
