package direct_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// newTakeStack returns a stack of one entry whose callers take streams up.
func newTakeStack(t *testing.T) *streams {
	t.Helper()
	s := &streams{testStack: newStackOf(t, stackOptions{entries: 1, fullWait: true, first: true})}
	s.store.Put("op/config", s.configOf(2, takeRoute))
	waitFor(t, "version 2", func() bool { return s.hasVersion(s.entries[0], 2) })
	for _, r := range s.replicas {
		r.SetFault(s.cut)
	}
	return s
}

func (s *streams) reports() (n int) {
	for _, r := range s.replicas {
		n += r.Reports()
	}
	return n
}

// TestTakeUpAsksProcess guards against a stream that goes on at a process which has not said that it
// is the registered one (ORDER), and against one that does not go on though another process has, or
// though upstreams do not say it at all (LOST).
func TestTakeUpAsksProcess(t *testing.T) {
	tests := map[string]struct {
		first, second stand.ReportFault
		goesOn        bool
	}{
		"both answer":                  {goesOn: true},
		"no such path":                 {first: stand.ReportNone, second: stand.ReportNone, goesOn: true},
		"the start is not named":       {first: stand.ReportUnnamed, second: stand.ReportUnnamed, goesOn: true},
		"the connection is reset once": {first: stand.ReportResetOnce, second: stand.ReportResetOnce, goesOn: true},
		"one refuses":                  {first: stand.ReportRefuse, goesOn: true},
		"one sends no report":          {first: stand.ReportGarbage, goesOn: true},
		"one does not answer":          {first: stand.ReportMute, goesOn: true},
		"one closes its connections":   {first: stand.ReportCloses, goesOn: true},
		"both refuse":                  {first: stand.ReportRefuse, second: stand.ReportRefuse},
		"both send no report":          {first: stand.ReportGarbage, second: stand.ReportGarbage},
		"both do not answer":           {first: stand.ReportMute, second: stand.ReportMute},
		"both close connections":       {first: stand.ReportCloses, second: stand.ReportCloses},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTakeStack(t)
			for range 3 {
				begun := s.begin(s.entries[0])
				s.replicas[0].SetReportFault(test.first)
				s.replicas[1].SetReportFault(test.second)
				if test.goesOn {
					s.goesOn(s.entries[0], begun, nil)
				} else {
					s.refused(s.entries[0], begun, nil, noneLeft)
				}
			}
		})
	}
}

// TestTakeUpReportLate guards against a request that is held beyond its time limit by a process that
// does not answer the question which one it is (CONFIG).
func TestTakeUpReportLate(t *testing.T) {
	const (
		timeLimit = 200 * time.Millisecond
		// excess is the time after a request's limit by which it must have an answer.
		excess = 500 * time.Millisecond
	)
	s := newTakeStack(t)
	for range 3 {
		begun := s.begin(s.entries[0])
		for _, r := range s.replicas {
			r.SetReportFault(stand.ReportMute)
		}
		start := time.Now()
		got := s.resume(s.entries[0], begun, map[string]string{"Cactustide-Deadline-Ms": fmt.Sprint(timeLimit.Milliseconds())})
		if took := time.Since(start); took > timeLimit+excess {
			t.Errorf("got an answer after %v, want one within %v", took, timeLimit+excess)
		}
		if runs := s.versionsOf(got.id); got.status < http.StatusInternalServerError || len(runs) != 0 {
			t.Errorf("got status %d, runs %v, want a failure and none", got.status, runs)
		}
	}
}

// TestReportsOfTakeUpsOnly guards against questions that grow with the requests: only streams that are
// taken up ask, once for each connection.
func TestReportsOfTakeUpsOnly(t *testing.T) {
	s := newTakeStack(t)
	e := s.entries[0]
	for range 10 {
		s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey})
		s.send(context.Background(), e, callerRequest{path: "/take/a", key: testKey, stream: true})
	}
	begun := s.begin(e)
	if n := s.reports(); n != 0 {
		t.Errorf("got %d questions for requests that take nothing up, want none", n)
	}
	for range 20 {
		s.goesOn(e, begun, nil)
	}
	if n, most := s.reports(), int(s.status(e).GetConnections()); n == 0 || n > most {
		t.Errorf("got %d questions for 20 streams, want 1 to %d, as many as connections", n, most)
	}
}

// TestRestartAfterReport guards against a stream that goes on at a process which was started between
// the answer of the one before and the request (ORDER).
func TestRestartAfterReport(t *testing.T) {
	for _, change := range []string{"at once", "after the answer has arrived"} {
		t.Run(change, func(t *testing.T) {
			t.Parallel()
			s := newTakeStack(t)
			var born, arrived atomic.Int64
			born.Store(1)
			u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
				id := requestID(q)
				if q.Header.Get("Last-Event-Id") != "" && born.Load() != 1 {
					arrived.Add(1)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCactustide-Request-Id: "+id+"\r\nCactustide-Response-Signature: s\r\n"+
					"Content-Type: text/event-stream\r\n\r\n"+stand.EventOf(id, 1)+"id: 2\nda") // The entry may have closed the connection.
				return false
			})
			u.report = func(c net.Conn) bool {
				if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{\"born\":%d}", len(`{"born":}`)+len(fmt.Sprint(born.Load())), born.Load()); err != nil {
					return false
				}
				if change == "after the answer has arrived" {
					time.Sleep(time.Millisecond)
				}
				return born.Add(1) < 0 // The process ends, the next one listens.
			}
			s.replaceUpstreams("first", u.listener.Addr().String())
			got := s.send(context.Background(), s.entries[0], callerRequest{path: "/take/a", key: testKey, stream: true})
			if got.status != http.StatusOK || got.err == nil || !strings.HasPrefix(got.body, stand.EventOf(got.id, 1)) {
				t.Fatalf("got status %d, body %q, error %v, want a stream that breaks off", got.status, got.body, got.err)
			}
			for range 4 {
				s.resume(s.entries[0], stream{id: got.id, last: 1}, nil)
			}
			if born.Load() == 1 {
				t.Error("got no question which process it is, want one")
			}
			if n := arrived.Load(); n != 0 {
				t.Errorf("got %d requests at the process that was started since, want none", n)
			}
		})
	}
}
