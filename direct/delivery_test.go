package direct_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/platform/stand"
)

const (
	// storeReads is the platform's reads-per-s, for all entries together.
	storeReads = 2000
	// storeWatchers is the most entries that all watch the store.
	storeWatchers = 7
	// answerGrowth is the size of an answer by that of its values: these are in base64.
	answerGrowth = 4.0 / 3
	mbit         = 1000 * 1000
)

// paddedConfig returns a configuration of a size, bytes, or of its own if that is larger.
func paddedConfig(t *testing.T, version uint64, routes []stand.Route, size int) []byte {
	t.Helper()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(testConfig(version, routes), &fields); err != nil {
		t.Fatal(err)
	}
	encode := func(pad int) []byte {
		fields["remark"] = slices.Concat([]byte(`"`), bytes.Repeat([]byte("x"), pad), []byte(`"`))
		data, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	return encode(max(0, size-len(encode(0))))
}

// deliveryProbe is a request to an added route.
type deliveryProbe struct {
	sent   time.Time
	status int
}

// probeUntil sends requests to a route of an entry until done is closed. It calls served when one is
// first served, or at the end.
func (s *testStack) probeUntil(done <-chan struct{}, e *testEntry, path string, served func()) []deliveryProbe {
	var probes []deliveryProbe
	defer served()
	for {
		sent := time.Now()
		status := s.send(context.Background(), e, callerRequest{method: http.MethodGet, path: path, key: testKey}).status
		if status == http.StatusOK {
			served()
		}
		probes = append(probes, deliveryProbe{sent, status})
		select {
		case <-done:
			return probes
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// firstServed returns when a request was first served, or false.
func firstServed(probes []deliveryProbe) (time.Time, bool) {
	i := slices.IndexFunc(probes, func(p deliveryProbe) bool { return p.status == http.StatusOK })
	if i < 0 {
		return time.Time{}, false
	}
	return probes[i].sent, true
}

// deliveryTest is a way on which a configuration reaches the entries.
type deliveryTest struct {
	entries int
	// way is that of the answers to all entries, oneWay that to the first one.
	way, oneWay stand.Delivery
	// sizes are those of the versions, bytes; nil means deliverySizes.
	sizes []int
	// versions are written one after the other in place of each one.
	versions int
	// items are stored beside the configuration, itemBytes each.
	items, itemBytes int
	// compact drops the store's history after each change.
	compact bool
	// cut keeps the first entry from the store.
	cut bool
	// joins starts one more entry after each change.
	joins bool
	// late is how long the first entry takes to read an answer.
	late time.Duration
	// bits is the bandwidth that the entries share, bits per second; 0 means no bound.
	bits int
}

var deliverySizes = []int{1 << 10, 100 << 10, 900 << 10}

// limit returns the time after the acknowledgement of versions of a size within which the last one
// must be in force.
func (d deliveryTest) limit(size, entries int) time.Duration {
	limit := applyTime + d.late
	if d.bits > 0 {
		sent := answerGrowth * float64(entries*(d.versions*size+d.items*d.itemBytes))
		limit += time.Duration(sent * 8 / float64(d.bits) * float64(time.Second))
	}
	return limit
}

// TestConfigDelivery guards against an acknowledged configuration that is not in force in time, or
// a refused added route, because the store's answers arrive slowly, in odd pieces or on
// connections that end (CONFIG, DENIED).
func TestConfigDelivery(t *testing.T) {
	slow := func(bits int) stand.Delivery { return stand.Delivery{Link: stand.NewLink(bits)} }
	tests := map[string]deliveryTest{
		"plain":                          {entries: 4},
		"length":                         {entries: 2, way: stand.Delivery{Framing: stand.FramingLength}},
		"chunked":                        {entries: 2, way: stand.Delivery{Framing: stand.FramingChunked}},
		"until the end":                  {entries: 2, way: stand.Delivery{Framing: stand.FramingClose}},
		"HTTP/1.0":                       {entries: 2, way: stand.Delivery{Framing: stand.FramingHTTP10}},
		"single bytes, length":           {entries: 1, way: stand.Delivery{Framing: stand.FramingLength, Piece: 1}, sizes: deliverySizes[:2]},
		"single bytes, chunked":          {entries: 1, way: stand.Delivery{Framing: stand.FramingChunked, Piece: 1}, sizes: deliverySizes[:2]},
		"small pieces, length":           {entries: 2, way: stand.Delivery{Framing: stand.FramingLength, Piece: 100}},
		"small pieces, chunked":          {entries: 2, way: stand.Delivery{Framing: stand.FramingChunked, Piece: 100}},
		"small pieces, until the end":    {entries: 2, way: stand.Delivery{Framing: stand.FramingClose, Piece: 100}},
		"closed after each answer":       {entries: 2, way: stand.Delivery{Ending: stand.EndingClose}},
		"reset after each answer":        {entries: 2, way: stand.Delivery{Ending: stand.EndingReset}},
		"closed while idle":              {entries: 2, way: stand.Delivery{Ending: stand.EndingIdle}},
		"each second answer cut":         {entries: 2, way: stand.Delivery{Defect: stand.DefectCut}},
		"each second answer empty":       {entries: 2, way: stand.Delivery{Defect: stand.DefectEmpty}},
		"each second answer 503":         {entries: 2, way: stand.Delivery{Defect: stand.DefectBusy}},
		"each second answer 429":         {entries: 2, way: stand.Delivery{Defect: stand.DefectLimited}},
		"changes at the end of the wait": {entries: 2, way: stand.Delivery{Held: true}},
		"watches do not wait":            {entries: 2, way: stand.Delivery{NoWait: true}},
		"watches have no history":        {entries: 2, way: stand.Delivery{NoHistory: true}},
		"history dropped":                {entries: 2, compact: true},
		"many pages, history dropped":    {entries: 1, compact: true, items: 100, itemBytes: 4 << 10},
		"many versions in one answer":    {entries: 2, versions: 8},
		"one entry is cut off":           {entries: 2, cut: true},
		"one entry reads late":           {entries: 2, late: time.Second},
		"an entry starts":                {entries: 1, joins: true},
		"4 Mbit/s":                       {entries: 1, way: slow(4 * mbit), bits: 4 * mbit},
		"10 Mbit/s":                      {entries: 1, way: slow(10 * mbit), bits: 10 * mbit},
		"4 Mbit/s, all four":             {entries: 4, way: slow(4 * mbit), bits: 4 * mbit},
		"10 Mbit/s, all four":            {entries: 4, way: slow(10 * mbit), bits: 10 * mbit},
		"10 Mbit/s, all nine":            {entries: 9, way: slow(10 * mbit), bits: 10 * mbit},
		"4 Mbit/s, one is cut off":       {entries: 2, way: slow(4 * mbit), bits: 4 * mbit, cut: true},
		"4 Mbit/s, an entry starts":      {entries: 1, way: slow(4 * mbit), bits: 4 * mbit, joins: true},
		"4 Mbit/s, history dropped":      {entries: 1, way: slow(4 * mbit), bits: 4 * mbit, compact: true},
		"4 Mbit/s, many pages":           {entries: 1, way: slow(4 * mbit), bits: 4 * mbit, compact: true, items: 100, itemBytes: 4 << 10},
		"4 Mbit/s, many versions":        {entries: 1, way: slow(4 * mbit), bits: 4 * mbit, versions: 4},
		"4 Mbit/s, at the wait's end":    {entries: 1, way: stand.Delivery{Held: true, Link: stand.NewLink(4 * mbit)}, bits: 4 * mbit},
		"4 Mbit/s, small pieces":         {entries: 1, way: stand.Delivery{Framing: stand.FramingChunked, Piece: 100, Link: stand.NewLink(4 * mbit)}, bits: 4 * mbit},
		"4 Mbit/s, until the end":        {entries: 1, way: stand.Delivery{Framing: stand.FramingClose, Link: stand.NewLink(4 * mbit)}, bits: 4 * mbit},
		"4 Mbit/s, one of two":           {entries: 2, oneWay: slow(4 * mbit), bits: 4 * mbit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.versions = max(1, test.versions)
			if test.sizes == nil {
				test.sizes = deliverySizes
			}
			if raceDetector {
				// It slows the decoding of large values many times. scripts/test.sh runs them without it.
				test.sizes = test.sizes[:2]
			}
			test.run(t)
		})
	}
}

func (d deliveryTest) run(t *testing.T) {
	s := newStackOf(t, stackOptions{entries: d.entries, fullWait: true, storeAddresses: true})
	for i := range d.items {
		s.store.Put(fmt.Sprintf("op/other-%03d", i), bytes.Repeat([]byte("x"), d.itemBytes))
	}
	time.Sleep(200 * time.Millisecond) // The entries have them.
	faults := stand.StoreFaults{Deliveries: map[string]stand.Delivery{"": d.way}}
	if d.oneWay != (stand.Delivery{}) {
		faults.Deliveries[s.entries[0].settings.Store] = d.oneWay
	}
	s.store.SetFaults(faults)
	s.entries[0].storeCut.Store(d.cut)
	s.entries[0].readLate.Store(int64(d.late))
	began, callsBefore := time.Now(), s.storeCalls()
	routes := testRoutes
	version := uint64(1)
	for _, size := range d.sizes {
		added := addedRoute
		added.Prefix = fmt.Sprintf("/added-%d/", size)
		routes = append(slices.Clone(routes), added)
		for range d.versions {
			version++
			s.store.Put("op/config", paddedConfig(t, version, routes, size))
		}
		if d.compact {
			s.store.Compact()
		}
		s.checkDelivery(t, d, size, added.Prefix+"a")
	}
	calls, limit := s.storeCalls()-callsBefore, float64(storeReads)/storeWatchers*float64(len(s.entries))*time.Since(began).Seconds()
	t.Logf("%d calls to the store in %v", calls, time.Since(began).Round(time.Millisecond))
	if float64(calls) > limit {
		t.Errorf("got %d calls to the store in %v, want at most %.0f", calls, time.Since(began), limit)
	}
}

// checkDelivery checks that all entries serve an added route in time from now on, and refuse it at no
// later time.
func (s *testStack) checkDelivery(t *testing.T, d deliveryTest, size int, path string) {
	t.Helper()
	acknowledged := time.Now()
	if d.joins {
		s.entries = append(s.entries, s.newEntry(len(s.entries)))
	}
	limit := d.limit(size, len(s.entries))
	done := make(chan struct{})
	var probing, serving sync.WaitGroup
	probes := make([][]deliveryProbe, len(s.entries))
	for i, e := range s.entries {
		serving.Add(1)
		probing.Go(func() { probes[i] = s.probeUntil(done, e, path, sync.OnceFunc(serving.Done)) })
	}
	all := make(chan struct{})
	go func() { serving.Wait(); close(all) }()
	select {
	case <-all:
	case <-time.After(limit):
	}
	time.Sleep(300 * time.Millisecond) // An older version would come into force now.
	close(done)
	probing.Wait()
	for i, list := range probes {
		at, ok := firstServed(list)
		switch {
		case !ok:
			t.Errorf("entry %d, %d bytes: got the added route not served, want it within %v", i, size, limit)
		case at.Sub(acknowledged) > limit:
			t.Errorf("entry %d, %d bytes: got the added route served after %v, want within %v", i, size, at.Sub(acknowledged), limit)
		default:
			t.Logf("entry %d, %d bytes: in force after %v of %v", i, size, at.Sub(acknowledged).Round(time.Millisecond), limit.Round(time.Millisecond))
		}
		for _, p := range list {
			refused := p.status == http.StatusNotFound || p.status == http.StatusUnauthorized
			if refused && p.sent.Sub(acknowledged) > applyTime {
				t.Errorf("entry %d, %d bytes: got %d %v after the acknowledgement", i, size, p.status, p.sent.Sub(acknowledged))
				break
			}
			if ok && p.sent.After(at) && p.status != http.StatusOK {
				t.Errorf("entry %d, %d bytes: got %d %v after the route was served", i, size, p.status, p.sent.Sub(at))
				break
			}
		}
	}
}

// TestRemovedBesideClosedConnections guards against requests to an upstream whose registration was
// removed, at a store that closes connections without saying so: a call on a connection that is
// closed already shows no outage, in which registrations lapse.
func TestRemovedBesideClosedConnections(t *testing.T) {
	for _, ending := range []stand.Ending{stand.EndingClose, stand.EndingReset, stand.EndingIdle} {
		t.Run(string(ending), func(t *testing.T) {
			t.Parallel()
			log := &fakes.LogBuffer{}
			s := newStackOf(t, stackOptions{entries: 1, fullWait: true, log: log})
			s.store.SetFaults(stand.StoreFaults{Deliveries: map[string]stand.Delivery{"": {Ending: ending}}})
			time.Sleep(2 * time.Second)
			left := s.replicas[0]
			s.store.Delete(left.StoreKey())
			removed := time.Now()
			time.Sleep(drainTime)
			before := len(left.ExecutedRequests())
			for time.Since(removed) < drainTime+time.Second {
				s.send(context.Background(), s.entries[0], callerRequest{path: "/read/a", key: testKey})
			}
			if got := len(left.ExecutedRequests()) - before; got != 0 {
				t.Errorf("got %d requests at the upstream later than %v after its removal, want none", got, drainTime)
			}
			if got := log.Count("store does not respond"); got > 0 {
				t.Errorf("got the store reported as away %d times, want none", got)
			}
		})
	}
}

// TestDeliveryBesideTakeUps guards against a configuration that arrives late, or never, over a slow link
// as streams of unknown origin are taken up, each of which asks the store for the same bytes (CONFIG).
func TestDeliveryBesideTakeUps(t *testing.T) {
	tests := map[string]struct{ takers, bits, size int }{
		"no stream is taken up": {bits: 10 * mbit, size: 900 << 10},
		"10 Mbit/s, 900 KB":     {takers: 2, bits: 10 * mbit, size: 900 << 10},
		"4 Mbit/s, 300 KB":      {takers: 2, bits: 4 * mbit, size: 300 << 10},
		"4 Mbit/s, 900 KB":      {takers: 4, bits: 4 * mbit, size: 900 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStackOf(t, stackOptions{entries: 1, fullWait: true, storeAddresses: true, first: true})
			time.Sleep(500 * time.Millisecond)
			s.store.SetFaults(stand.StoreFaults{Deliveries: map[string]stand.Delivery{"": {Link: stand.NewLink(test.bits)}}})
			ctx, cancel := context.WithCancel(context.Background())
			var takers sync.WaitGroup
			defer takers.Wait()
			defer cancel()
			for range test.takers {
				takers.Go(func() {
					for ctx.Err() == nil {
						s.send(ctx, s.entries[0], callerRequest{path: "/draft/a", key: testKey, stream: true, header: map[string]string{"Last-Event-Id": "1", "Resumes": "ffff"}})
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(time.Second)
			s.store.Put("op/config", paddedConfig(t, 2, append(slices.Clone(testRoutes), addedRoute), test.size))
			written := time.Now()
			// The watch and one reading may ask for the same bytes; base64 adds a third.
			bytes := 2 * test.size * 4 / 3
			limit := applyTime + time.Duration(float64(8*bytes)/float64(test.bits)*float64(time.Second))
			for s.send(context.Background(), s.entries[0], callerRequest{method: http.MethodGet, path: "/added/a", key: testKey}).status != http.StatusOK {
				if time.Since(written) > limit {
					t.Fatalf("got the added route not served, want it within %v", limit)
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("served after %v of %v", time.Since(written), limit)
		})
	}
}
