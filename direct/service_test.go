package direct

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/place"
	"cactustide/rules"
	"cactustide/setup"
	"cactustide/store"
)

// serviceWalk is an entry whose upstreams of several services hold the same parts of prompts, and
// come, go and move between services.
type serviceWalk struct {
	t      testing.TB
	random *rand.Rand
	entry  *Entry
	now    time.Time
	names  []string
	count  int
	// revision numbers the registrations.
	revision uint64
}

func newServiceWalk(t testing.TB, seed uint64, services, upstreams int) *serviceWalk {
	m := meter.New("test")
	t.Cleanup(m.Close)
	w := &serviceWalk{t: t, random: rand.New(rand.NewPCG(seed, 54)), now: time.Unix(1000, 0), count: upstreams}
	w.entry = New(&setup.DirectSettings{Name: "test", MemoryBytes: 1 << 30, MaxSockets: 100}, HeaderCodec{}, ItemCodec{}, nil, meter.NewLogger(io.Discard, "error", "json", "direct"), m)
	for i := range services {
		w.names = append(w.names, fmt.Sprintf("s%d", i))
	}
	for i := range upstreams {
		w.register(i, w.names[i%services], 1)
	}
	return w
}

func (w *serviceWalk) register(i int, service string, start int64) {
	w.revision++
	w.entry.fleet.Put(fleet.Upstream{
		ID: fmt.Sprintf("u%d", i), Service: service, Address: "10.0.0.1:80", Slots: 8, Sequence: int64(w.revision), StartedAt: start,
		Position: store.Position{Revision: w.revision},
	})
}

// request returns a request of a service whose prompt begins with a part that all share.
func (w *serviceWalk) request(service string) *request {
	q := &request{route: &rules.Route{Name: "r", Timeout: time.Second}, service: &rules.Service{Name: service, Engine: &rules.Engine{}}, log: w.entry.log}
	q.placement = place.Request{Engine: true, PromptTokens: 200, OutputTokens: 10, Timeout: time.Second, ArrivedAt: w.now}
	q.placement.Segments = place.AppendSegment(nil, "", "shared", 100)
	if w.random.IntN(2) == 0 {
		q.placement.Segments = place.AppendSegment(q.placement.Segments, "", fmt.Sprint("part", w.random.IntN(3)), 100)
	}
	return q
}

// step sends a request, moves an upstream to another service, restarts one or removes one.
func (w *serviceWalk) step(seed uint64) {
	w.now = w.now.Add(time.Millisecond)
	i := w.random.IntN(w.count)
	switch w.random.IntN(20) {
	case 0:
		w.register(i, w.names[w.random.IntN(len(w.names))], 1)
		return
	case 1:
		w.register(i, w.names[w.random.IntN(len(w.names))], int64(w.revision))
		return
	case 2:
		id := fmt.Sprintf("u%d", i)
		w.entry.handleUpstreamChange(sourceWatch, store.Position{}, id, w.entry.fleet.Remove(w.now, id))
		return
	}
	service := w.names[w.random.IntN(len(w.names))]
	q := w.request(service)
	choice, ok := w.entry.choose(w.now, q, &forwardState{})
	if !ok {
		return
	}
	if got := choice.Upstream.Service; got != service {
		w.t.Fatalf("seed %d: got %s of service %s chosen for a request of %s", seed, choice.Upstream.ID, got, service)
	}
	u, ok := w.entry.fleet.Find(choice.Upstream.ID)
	if !ok || u.Service != service {
		w.t.Fatalf("seed %d: got %s chosen for a request of %s, which is registered for %q", seed, choice.Upstream.ID, service, u.Service)
	}
	w.entry.balancer.Start(w.now, service, choice.Upstream, &q.placement).Finish(w.now)
}

// TestServiceOfChoice guards against a request that goes to an upstream of another service, which
// holds a part of its prompt (ROUTE, review/11): services share parts, and upstreams move.
func TestServiceOfChoice(t *testing.T) {
	for _, services := range []int{2, 3} {
		for upstreams, steps := range map[int]int{10: 400, 2 * (place.MaxScanned + 1): 1000, 3 * (place.MaxScanned + 1): 1000, 1000: 800, 10_000: 300} {
			t.Run(fmt.Sprintf("%d services, %d upstreams", services, upstreams), func(t *testing.T) {
				for seed := range uint64(3) {
					w := newServiceWalk(t, seed, services, upstreams)
					for range steps {
						w.step(seed)
					}
				}
			})
		}
	}
}

// TestMisrouting guards against a request that is sent to an upstream of a service to which its
// route does not lead, whatever chose it: the upstream or the route has moved since (ROUTE).
func TestMisrouting(t *testing.T) {
	split := func(services ...string) []rules.WeightedService {
		var list []rules.WeightedService
		for _, s := range services {
			list = append(list, rules.WeightedService{Service: s, Weight: 1})
		}
		return list
	}
	document := func(version uint64, route *rules.Route) *rules.Document {
		d := &rules.Document{Version: version, Services: []rules.Service{{Name: "one"}, {Name: "two"}}}
		if route != nil {
			d.Routes = []rules.Route{*route}
		}
		return d
	}
	known := fleet.Upstream{ID: "u", Service: "one", StartedAt: 1, Sequence: 1, Position: store.Position{Revision: 1}}
	moved := known
	moved.Service, moved.Sequence, moved.Position.Revision = "two", 2, 2
	restarted := moved
	restarted.StartedAt = 2
	tests := map[string]struct {
		to    fleet.Upstream
		after func(e *Entry)
		want  bool
		// service is the one to which the request is sent then.
		service string
	}{
		"as it was":                        {to: known, service: "one"},
		"chosen from another service":      {to: moved, want: true, service: "one"},
		"moved to another service":         {to: known, want: true, service: "one", after: func(e *Entry) { e.fleet.Put(moved) }},
		"started again in another service": {to: known, want: true, service: "one", after: func(e *Entry) { e.fleet.Put(restarted) }},
		"its registration is gone":         {to: known, service: "one", after: func(e *Entry) { e.fleet.Remove(time.Now(), "u") }},
		"the route has moved": {to: known, want: true, service: "two", after: func(e *Entry) {
			e.rules.Adopt(document(2, &rules.Route{Host: "h", Prefix: "/a/", Split: split("two")}))
		}},
		"the route is split": {to: known, service: "one", after: func(e *Entry) {
			e.rules.Adopt(document(2, &rules.Route{Host: "h", Prefix: "/a/", Split: split("one", "two")}))
		}},
		"its weight is zero": {to: known, want: true, service: "two", after: func(e *Entry) {
			e.rules.Adopt(document(2, &rules.Route{Host: "h", Prefix: "/a/", Split: append(split("two"), rules.WeightedService{Service: "one"})}))
		}},
		"the route was removed": {to: known, service: "one", after: func(e *Entry) { e.rules.Adopt(document(2, nil)) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newServiceWalk(t, 1, 1, 0).entry
			route := &rules.Route{Host: "h", Prefix: "/a/", Split: split("one")}
			e.rules.Adopt(document(1, route))
			e.fleet.Put(known)
			q := &request{route: route, service: &rules.Service{Name: "one"}, version: 1, host: "h", target: "/a/x?b", info: RequestInfo{ID: "1"}}
			if test.after != nil {
				test.after(e)
			}
			reason := e.findMisrouting(q, test.to)
			if got := reason != ""; got != test.want {
				t.Errorf("got %q, want a reason %v", reason, test.want)
			}
			e.reroute(q)
			if q.service == nil || q.service.Name != test.service {
				t.Errorf("got service %v after the choice is made anew, want %s", q.service, test.service)
			}
		})
	}
}
