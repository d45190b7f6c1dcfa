package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/config"
	"cactustide/fakes"
	"cactustide/meter"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

// applyTime is the time within which a change must be in force.
const applyTime = 2 * time.Second

// servedEntry is an entry that serves callers, with the fake of the platform's service.
type servedEntry struct {
	t       *testing.T
	kv      *fakes.KV
	address string
	log     *fakes.LogBuffer
	entry   *Entry
}

const (
	testPrefix = "cactustide"
	firstKey   = "key-first"
	addedKey   = "key-added"
)

// testDocument returns a document with a service "first", and from generation 2 on with a service
// "added", a key and a class besides.
func testDocument(generation uint64) *config.Document {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	d := &config.Document{
		Generation: generation, Change: fmt.Sprint("change-", generation), Preset: "p", Presets: []config.Preset{{Name: "p"}},
		Classes:  []config.Class{{Name: "c", Tier: 1, Target: time.Second, Wait: 200 * time.Millisecond, Objective: 0.9}},
		Partners: []config.Partner{{Name: "a", Share: 1, Teams: []config.Team{{Name: "t", Class: "c", Limit: 1000, Keys: []string{hash(firstKey)}}}}},
		Services: []config.Service{{Name: "first"}},
	}
	if generation > 1 {
		team := &d.Partners[0].Teams[0]
		team.Keys, team.Classes = append(team.Keys, hash(addedKey)), []string{"added"}
		d.Classes = append(d.Classes, config.Class{Name: "added", Tier: 2, Target: time.Second, Wait: 200 * time.Millisecond, Objective: 0.9})
		d.Services = append(d.Services, config.Service{Name: "added"})
	}
	return d
}

func encodeTestDocument(t *testing.T, d *config.Document) []byte {
	t.Helper()
	data, err := wire.EncodeDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// serveEntry starts an entry that reads the first document from the address that platform returns.
func serveEntry(t *testing.T, platform func(address string) string) *servedEntry {
	t.Helper()
	kv, err := fakes.StartKV("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(kv.Close)
	s := &servedEntry{t: t, kv: kv, address: fakes.FreeAddress(), log: &fakes.LogBuffer{}}
	s.put(testDocument(1))
	settings := &setup.Settings{Name: "e", Centre: "c", Listen: s.address, Admin: fakes.FreeAddress(), Platform: platform(kv.Address())}
	settings.FillDefaults(func(string) string { return "" })
	m := meter.New("e")
	t.Cleanup(m.Close)
	s.entry = New(settings, meter.NewLogger(s.log, "info", "json", "entry"), m)
	if err := s.entry.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.entry.Close)
	s.waitForGeneration(1, 10*time.Second)
	return s
}

func direct(address string) string { return address }

func (s *servedEntry) put(d *config.Document) {
	s.t.Helper()
	if err := store.New(s.kv.Address()).Put(testPrefix+wire.DocumentKey, encodeTestDocument(s.t, d)); err != nil {
		s.t.Fatal(err)
	}
}

// restore brings a document into force that the service then loses, as one that comes back from an
// older copy. What it has then was never in force.
func (s *servedEntry) restore() {
	s.t.Helper()
	lost := testDocument(1)
	lost.Generation, lost.Change = 3, "lost"
	s.put(lost)
	s.waitForGeneration(3, applyTime)
	s.put(testDocument(2))
}

func (s *servedEntry) waitForGeneration(generation uint64, limit time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(limit); s.entry.config.Generation() != generation; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("got generation %d after %v, want %d", s.entry.config.Generation(), limit, generation)
		}
	}
}

// answer is what a caller gets.
type answer struct {
	status     int
	id, code   string
	retryAfter string
	took       time.Duration
}

// send makes a call to a service, with a class if it is not empty.
func (s *servedEntry) send(service, key, class string) answer {
	s.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.address + pathServices + service + "/x")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	if class != "" {
		req.Header.Set(headerClass, class)
	}
	began := time.Now()
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		s.t.Fatal(err)
	}
	var body struct{ Error struct{ Code string } }
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		s.t.Fatalf("got the body %q: %v", resp.Body(), err)
	}
	return answer{
		status: resp.StatusCode(), id: string(resp.Header.Peek(headerRequestID)), code: body.Error.Code,
		retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), took: time.Since(began),
	}
}

// unknownCalls are calls that the first document refuses as it lacks what they name.
var unknownCalls = map[string]struct {
	service, key, class string
	status              int
}{
	"service": {"added", firstKey, "", fasthttp.StatusNotFound},
	"key":     {"first", addedKey, "", fasthttp.StatusUnauthorized},
	"class":   {"first", firstKey, "added", fasthttp.StatusBadRequest},
}

// TestRefusalUnconfirmed guards against a refusal as if a service, key or class did not exist by an
// entry that cannot know: what was written while nothing confirmed its document for longer than a
// change may take (CONFIG, DENIED).
func TestRefusalUnconfirmed(t *testing.T) {
	tests := map[string]struct {
		faults fakes.KVFaults
		// restored is set if the service has lost the document in force.
		restored bool
	}{
		"the platform is down":           {faults: fakes.KVFaults{Down: true}},
		"the platform does not answer":   {faults: fakes.KVFaults{Silent: true}},
		"the platform is an older copy":  {restored: true},
		"the platform loses every call":  {faults: fakes.KVFaults{Drop: 1}},
		"the platform is slow, for long": {faults: fakes.KVFaults{Slow: 5000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveEntry(t, direct)
			for what, c := range unknownCalls {
				if got := s.send(c.service, c.key, c.class); got.status != c.status {
					t.Fatalf("%s: got %+v before the fault, want %d", what, got, c.status)
				}
			}
			if test.restored {
				s.restore()
			}
			s.kv.SetFaults(test.faults)
			time.Sleep(applyTime)
			for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for what, c := range unknownCalls {
					got := s.send(c.service, c.key, c.class)
					if got.status != fasthttp.StatusServiceUnavailable || got.code != "unconfirmed" || got.retryAfter == "" {
						t.Fatalf("%s: got %+v, want 503 with the code unconfirmed and Retry-After", what, got)
					}
					if got.took > time.Second {
						t.Errorf("%s: got the refusal after %v, want it within 1 s", what, got.took)
					}
				}
				if got := s.send("first", firstKey, ""); got.code == "unconfirmed" {
					t.Fatalf("got %+v for a service and key that the document has", got)
				}
				if got := s.send("none", "", ""); got.status != fasthttp.StatusUnauthorized {
					t.Fatalf("got %+v without a key, want 401", got)
				}
			}
			if test.restored {
				return
			}
			s.kv.SetFaults(fakes.KVFaults{})
			s.put(testDocument(2))
			s.waitForGeneration(2, 3*applyTime)
			for what, c := range unknownCalls {
				if got := s.send(c.service, c.key, c.class); got.code != "unavailable" {
					t.Errorf("%s: got %+v once it is in force, want that no upstream serves it", what, got)
				}
			}
			// A call to the service that has just failed is followed by a pause.
			for end := time.Now().Add(time.Second); ; time.Sleep(10 * time.Millisecond) {
				got := s.send("none", firstKey, "")
				if got.status == fasthttp.StatusNotFound {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("got %+v for no service 1 s after the end, want 404: %v", got, s.log.LastLine(t, got.id))
				}
			}
		})
	}
}

// TestRefusalLogged guards against a refusal whose line does not tell on which document it rests, how
// old that is, and why the entry has no newer one.
func TestRefusalLogged(t *testing.T) {
	for name, test := range map[string]struct {
		faults fakes.KVFaults
		want   []string
	}{
		"confirmed":   {want: []string{"confirmed"}},
		"unconfirmed": {faults: fakes.KVFaults{Down: true}, want: []string{"confirmed", "down"}},
	} {
		for what, c := range unknownCalls {
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				s := serveEntry(t, direct)
				s.send(c.service, c.key, c.class)
				if test.faults != (fakes.KVFaults{}) {
					s.kv.SetFaults(test.faults)
					time.Sleep(applyTime)
				}
				got := s.send(c.service, c.key, c.class)
				line := s.log.LastLine(t, got.id)
				for _, field := range append([]string{"version", "stored", "since", "source", "index", "status"}, test.want...) {
					if line[field] == nil {
						t.Errorf("got no %s in the line %v, want it", field, line)
					}
				}
				if line["version"] != 1.0 || line["stored"] != 1.0 || line["source"] != "store" || line["status"] != float64(got.status) {
					t.Errorf("got the line %v of an answer %d, want version 1 by the store", line, got.status)
				}
				if _, down := line["down"]; down != test.faults.Down {
					t.Errorf("got down in the line: %v, want %v", down, test.faults.Down)
				}
			})
		}
	}
}

// TestRefusalAfterSilence guards against a 503 in place of a refusal long after the service has
// returned from a short silence: calls that it took before are never answered (DENIED). What is
// written then must come into force all the same.
func TestRefusalAfterSilence(t *testing.T) {
	const silence = 400 * time.Millisecond
	tests := map[string]struct {
		// before and within say whether callers are refused before and in the silence.
		before, within bool
		// limit is how long after the return a 503 may still be given.
		limit time.Duration
	}{
		"refusals all the time":   {before: true, within: true},
		"none before the return":  {},
		"refusals in it only":     {within: true, limit: time.Second},
		"refusals before it only": {before: true},
	}
	for phase := range 5 {
		since := time.Duration(phase) * 500 * time.Millisecond
		for name, test := range tests {
			t.Run(fmt.Sprintf("%v after the start, %s", since, name), func(t *testing.T) {
				t.Parallel()
				s := serveEntry(t, direct)
				refuse := func(calls bool, d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if calls {
							s.send("none", firstKey, "")
						}
					}
				}
				refuse(test.before, since)
				s.kv.SetFaults(fakes.KVFaults{Silent: true})
				refuse(test.within, silence)
				s.kv.SetFaults(fakes.KVFaults{})
				returned := time.Now()
				for time.Since(returned) < applyTime {
					sent := time.Since(returned)
					if got := s.send("none", firstKey, ""); got.status != fasthttp.StatusNotFound && (got.code != "unconfirmed" || sent > test.limit) {
						t.Fatalf("got %+v %v after the return, want 404: %v", got, sent, s.log.LastLine(t, got.id))
					}
					time.Sleep(10 * time.Millisecond)
				}
				s.put(testDocument(2))
				s.waitForGeneration(2, 3*applyTime)
			})
		}
	}
}

// TestRefusalCalls guards against a call to the platform's service for each refused request.
func TestRefusalCalls(t *testing.T) {
	const (
		callers = 8
		length  = 2 * time.Second
		// most is one call for each 0.4 s, with the one under way, and the watch's.
		most = int(length/(400*time.Millisecond)) + 2
	)
	for name, restored := range map[string]bool{"confirmed": false, "the service is an older copy": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveEntry(t, direct)
			if restored {
				s.restore()
			}
			before := s.kv.Calls()["read"]
			var wait sync.WaitGroup
			for range callers {
				wait.Go(func() {
					for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Millisecond) {
						s.send("none", firstKey, "")
					}
				})
			}
			wait.Wait()
			if got := s.kv.Calls()["read"] - before; got > most {
				t.Errorf("got %d calls to the service in %v, want %d at most", got, length, most)
			}
		})
	}
}

// slowLink forwards to target and passes on what comes back at a bandwidth, bits per second.
func slowLink(t *testing.T, target string, bits int) string {
	t.Helper()
	server, err := fakes.NewRawServer(func(c *net.TCPConn) {
		defer c.Close()
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer upstream.Close()
		// The entry keeps its connections for a time.
		defer context.AfterFunc(t.Context(), func() { _ = upstream.Close() })()
		go func() {
			defer upstream.Close()
			_, _ = upstream.(*net.TCPConn).ReadFrom(c)
		}()
		piece := make([]byte, bits/8/100) // What it passes on in 10 ms.
		for {
			n, err := upstream.Read(piece)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(n) * 8 * time.Second / time.Duration(bits))
			if _, err := c.Write(piece[:n]); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address
}

// TestSlowDelivery guards against a document that never comes into force over a slow link, and against
// refusals that rest on the one before it meanwhile.
func TestSlowDelivery(t *testing.T) {
	const bits = 4_000_000
	s := serveEntry(t, func(address string) string { return slowLink(t, address, bits) })
	large := testDocument(2)
	// The service sends values in base64, 4 bytes for 3.
	for size := 0; size < 900<<10; {
		name := fmt.Sprintf("drained-%d-%s", size, strings.Repeat("x", 1000))
		large.Drains = append(large.Drains, name)
		size += len(name)
	}
	data := encodeTestDocument(t, large)
	s.put(large)
	written := time.Now()
	limit := time.Duration(len(data)*4/3)*8*time.Second/bits + 2*time.Second
	for s.entry.config.Generation() != 2 {
		if time.Since(written) > limit {
			t.Fatalf("got generation %d after %v, want 2", s.entry.config.Generation(), limit)
		}
		sent := time.Since(written)
		if got := s.send("added", firstKey, ""); got.status == fasthttp.StatusNotFound && sent > applyTime {
			t.Fatalf("got %+v %v after the service was written, want it served or 503", got, sent)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d bytes in force after %v", len(data), time.Since(written))
	time.Sleep(applyTime)
	if got := s.send("none", firstKey, ""); got.status != fasthttp.StatusNotFound {
		t.Errorf("got %+v for no service once the document is in force, want 404", got)
	}
	s.put(testDocument(3)) // The one before is too large to be watched with its value.
	s.waitForGeneration(3, applyTime)
}
