package entry

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"cactustide/usage"
	"cactustide/wire"
)

// Paths of the admin listener.
const (
	PathHealth  = "/health"
	PathReady   = "/ready"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathBurn    = "/burn"
	PathUsage   = "/usage"
	pathProfile = "/debug/pprof"
)

// Status is the status of an entry and its agents, for operators.
type Status struct {
	Name       string
	Process    string
	Centre     string
	Generation uint64
	Preset     string
	Ready      bool
	Agents     []AgentStatus
}

// AgentStatus is the last state of an agent that this entry received.
type AgentStatus struct {
	Name        string
	Centre      string
	Model       string
	Service     string
	Incarnation uint64
	Generation  uint64
	Preset      string
	Slots       int32
	Running     int32
	// Queued requests by class; classes without any are left out.
	Queued   map[string]int32
	Drain    bool
	Healthy  bool
	Suspects int
	// Age of the state, milliseconds; -1 when the agent does not answer.
	Age int64
}

// BurnStatus holds the counts of one class's short and long SLO windows.
type BurnStatus struct {
	Class      string
	Objective  float64
	ShortTotal int64
	ShortGood  int64
	LongTotal  int64
	LongGood   int64
}

// handleAdmin serves the admin listener: health, readiness and metrics to anyone,
// the rest to operators.
func (e *Entry) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathHealth:
		ctx.SetBodyString("ok\n")
		return
	case PathReady:
		e.handleReady(ctx)
		return
	case PathMetrics:
		e.scrapeHandler(ctx)
		return
	}
	if !e.isOperator(ctx) {
		ctx.Error("wrong operator token", fasthttp.StatusUnauthorized)
		return
	}
	if bytes.HasPrefix(ctx.Path(), []byte(pathProfile)) {
		pprofhandler.PprofHandler(ctx)
		return
	}
	switch string(ctx.Path()) {
	case PathStatus:
		writeJSON(ctx, e.status(time.Now()))
	case PathBurn:
		writeJSON(ctx, e.burnStatus(time.Now()))
	case PathUsage:
		writeJSON(ctx, usage.Aggregate(e.counters.Snapshot()))
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (e *Entry) isOperator(ctx *fasthttp.RequestCtx) bool {
	got := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return subtle.ConstantTimeCompare(got, []byte(bearerPrefix+e.settings.OperatorToken)) == 1
}

func (e *Entry) handleReady(ctx *fasthttp.RequestCtx) {
	if !e.isReady() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// isReady reports whether the entry should receive traffic: it has a configuration, knows an
// agent, and has heard of each agent or tried to for a time, so that it does not refuse
// requests for a service or model whose agents it does not know yet.
func (e *Entry) isReady() bool {
	agents, _ := e.table.List()
	return !e.stopping.Load() && e.configIndex.Load() != nil && len(agents) > 0 && e.agentConns.settled(time.Now())
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (e *Entry) status(now time.Time) Status {
	s := Status{
		Name:       e.settings.Name,
		Process:    e.process,
		Centre:     e.settings.Centre,
		Generation: e.config.Generation(),
		Ready:      e.isReady(),
	}
	if d := e.config.Get(); d != nil {
		s.Preset = d.Preset
	}
	agents, lastUpdates := e.table.List()
	for i, a := range agents {
		state, ok := e.agentStates.Load(a.Name)
		if !ok {
			continue
		}
		s.Agents = append(s.Agents, agentStatus(state.(*wire.AgentState), now, lastUpdates[i]))
	}
	return s
}

func agentStatus(state *wire.AgentState, now, lastUpdate time.Time) AgentStatus {
	a := AgentStatus{
		Name:        state.GetName(),
		Centre:      state.GetCentre(),
		Model:       state.GetModel(),
		Service:     state.GetService(),
		Incarnation: state.GetIncarnation(),
		Generation:  state.GetGeneration(),
		Preset:      state.GetPreset(),
		Slots:       state.GetSlots(),
		Running:     state.GetRunning(),
		Queued:      map[string]int32{},
		Drain:       state.GetDrain(),
		Healthy:     state.GetHealthy(),
		Suspects:    len(state.GetMarks()),
		Age:         -1,
	}
	for _, q := range state.GetClasses() {
		a.Queued[q.GetClass()] = q.GetQueued()
	}
	if !lastUpdate.IsZero() {
		a.Age = now.Sub(lastUpdate).Milliseconds()
	}
	return a
}

func (e *Entry) burnStatus(now time.Time) []BurnStatus {
	idx := e.configIndex.Load()
	if idx == nil {
		return nil
	}
	reports := e.burn.Reports(now)
	statuses := []BurnStatus{}
	for _, c := range idx.document.Classes {
		r := reports[c.Name]
		statuses = append(statuses, BurnStatus{
			Class:      c.Name,
			Objective:  c.Objective,
			ShortTotal: r.Short.Total,
			ShortGood:  r.Short.Good,
			LongTotal:  r.Long.Total,
			LongGood:   r.Long.Good,
		})
	}
	return statuses
}
