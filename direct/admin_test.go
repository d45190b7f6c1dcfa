package direct_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactustide/platform/stand"
)

func (s *testStack) get(t testing.TB, e *testEntry, path string) (int, string) {
	t.Helper()
	resp, err := s.client.Get("http://" + e.settings.Admin + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func TestAdmin(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey})
	status, body := s.get(t, e, "/status")
	var got struct {
		Ready     bool
		Version   string
		Upstreams []struct{ ID string }
		Prefixes  []struct{ Revision string }
	}
	if err := json.Unmarshal([]byte(body), &got); err != nil || status != http.StatusOK {
		t.Fatalf("got %d %s, error %v, want a status", status, body, err)
	}
	if !got.Ready || got.Version != "1" || len(got.Upstreams) != 2 || len(got.Prefixes) != 2 {
		t.Errorf("got %+v, want ready with version 1, 2 upstreams, 2 prefixes", got)
	}
	status, body = s.get(t, e, "/explain?host="+testHost+"&path=/chat/x&tokens=100&parts=aa:60")
	if status != http.StatusOK || !strings.Contains(body, `"u-1"`) || !strings.Contains(body, `"desk"`) {
		t.Errorf("got %d %s, want a choice among u-0 and u-1", status, body)
	}
	if status, _ = s.get(t, e, "/explain?host="+testHost+"&path=/none/"); status != http.StatusNotFound {
		t.Errorf("got %d for a path without a route, want 404", status)
	}
	waitFor(t, "the counters", func() bool {
		_, body := s.get(t, e, "/metrics")
		return strings.Contains(body, "cactustide_requests") && strings.Contains(body, "cactustide_answer_bucket") &&
			strings.Contains(body, `cactustide_store_age{prefix="op_config"`)
	})
}

// TestCrashingRequest: a caller retries a request that crashes each upstream that
// executes it. After a few crashes the request must be refused.
func TestCrashingRequest(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	crash := func(r *stand.Replica) {
		r.SetFault(func(string) stand.Fault { return stand.FaultCrash })
	}
	for i := range 4 {
		r, err := stand.NewReplica("late-"+string(rune('a'+i)), "desk", "zone-a", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		s.replicas = append(s.replicas, r)
		s.store.Put(r.StoreKey(), r.Registration("ready"))
	}
	for _, r := range s.replicas {
		crash(r)
	}
	time.Sleep(100 * time.Millisecond)
	ran := 0
	for range 20 {
		got := s.send(context.Background(), e, callerRequest{path: "/book/bad", key: testKey, body: "bad"})
		ran += s.runs(got.id)
		// Another caller's request finds the closed ports, which shows that they crashed.
		for _, r := range s.replicas {
			if len(r.ExecutedRequests()) == 0 {
				r.SetFault(nil)
			}
		}
		s.send(context.Background(), e, callerRequest{path: "/read/good", key: testKey})
		for _, r := range s.replicas {
			crash(r)
		}
	}
	if ran > 4 {
		t.Errorf("got %d upstreams crashed by one request, want at most 4", ran)
	}
	if got := s.send(context.Background(), e, callerRequest{path: "/book/bad", key: testKey, body: "bad"}); got.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the request that crashes upstreams, want 503", got.status)
	}
}

func TestReload(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	next := *e.settings
	next.RetrySlack = 0
	next.RetryRatio = 0
	e.Reload(time.Now(), &next)
	s.failFirst(stand.FaultServerError)
	if got := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey}); got.status != http.StatusInternalServerError {
		t.Errorf("got status %d without a budget, want the upstream's 500", got.status)
	}
}

// TestRetryAfter: Retry-After without a configuration is the usual length of a store
// outage, but at most a fraction of the caller's deadline.
func TestRetryAfter(t *testing.T) {
	s := newStack(t, 0)
	s.store.SetFaults(stand.StoreFaults{Busy: true})
	e := s.newEntry(0)
	for name, c := range map[string]struct{ left, want string }{
		"long":  {"10000", "2.000"},
		"short": {"1000", "0.300"},
	} {
		got := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey, header: map[string]string{"Cactustide-Deadline-Ms": c.left}})
		if after := got.header.Get("Retry-After"); got.status != http.StatusServiceUnavailable || after != c.want {
			t.Errorf("%s: got status %d, Retry-After %q, want 503 and %s", name, got.status, after, c.want)
		}
	}
}
