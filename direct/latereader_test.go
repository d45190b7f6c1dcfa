package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/fakes"
)

const (
	// lateBodyBytes is the largest body that the configuration allows.
	lateBodyBytes = 1 << 20
	// lateBufferBytes is the receive buffer of a lateUpstream.
	lateBufferBytes = 16 << 10
)

// lateUpstream reads the body of a request in a way of its own. A request without a body is
// answered at once.
type lateUpstream struct {
	read func(body io.Reader)
	// early is set if the first event comes before the body is read.
	early bool
	mu    sync.Mutex
	// ended is when a write to a caller failed; zero if none did.
	ended time.Time
	// large counts the requests with a large body.
	large atomic.Int64
}

func (s *testStack) startLateUpstream(id string, u *lateUpstream) {
	s.t.Helper()
	listener, err := fakes.ListenWindow("127.0.0.1:0", lateBufferBytes)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	s.register(id, listener.Addr().String())
}

func (u *lateUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 512)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := requestID(q)
		if q.ContentLength < lateBodyBytes {
			_, _ = io.Copy(io.Discard, q.Body) // Shows when the response is written.
			if _, err := io.WriteString(c, rawBody(id)); err != nil {
				return
			}
			continue
		}
		u.large.Add(1)
		_, _ = io.WriteString(c, strings.ReplaceAll(rawStream, "ID", id)) // The events show a failure.
		stop := make(chan struct{})
		var writing sync.WaitGroup
		if u.early {
			writing.Go(func() { u.writeEvents(c, stop) })
		}
		u.read(q.Body)
		close(stop)
		writing.Wait()
		_, _ = io.WriteString(c, "event: done\ndata: x\n\n") // As above.
		return
	}
}

// writeEvents writes an event each 100 ms.
func (u *lateUpstream) writeEvents(c net.Conn, stop chan struct{}) {
	for {
		if _, err := io.WriteString(c, ": event\n\n"); err != nil {
			u.mu.Lock()
			u.ended = time.Now()
			u.mu.Unlock()
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestLateReader guards against an upstream that reads a large body late, behind a closed window, and
// is taken for dead meanwhile: the request runs twice, its stream is cut, or the upstream gets no other
// requests (TWICE, LOST; GONE for a caller that leaves).
func TestLateReader(t *testing.T) {
	const never = 20 * time.Second
	reads := map[string]struct {
		read  func(body io.Reader)
		whole bool
	}{
		"reads at once":   {whole: true, read: readAfter(0)},
		"reads after 1 s": {whole: true, read: readAfter(time.Second)},
		"reads after 2 s": {whole: true, read: readAfter(2 * time.Second)},
		"reads in pieces": {whole: true, read: func(body io.Reader) {
			for err := error(nil); err == nil; time.Sleep(25 * time.Millisecond) {
				_, err = io.CopyN(io.Discard, body, lateBodyBytes/80)
			}
		}},
		"never reads": {read: readAfter(never)},
	}
	meanwhile := map[string]struct {
		do func(s *testStack, leave func())
		// cut is set if the request may end before its response.
		cut bool
	}{
		"nothing":           {do: func(*testStack, func()) {}},
		"a reload":          {do: func(s *testStack, _ func()) { next := *s.entries[0].settings; s.entries[0].Reload(time.Now(), &next) }},
		"a stop begins":     {do: func(s *testStack, _ func()) { go s.entries[0].Drain(4 * time.Second) }},
		"the caller leaves": {cut: true, do: func(_ *testStack, leave func()) { leave() }},
	}
	for how, reading := range reads {
		for _, early := range []bool{false, true} {
			for what, event := range meanwhile {
				name := how + ", events at the end, " + what
				if early {
					name = how + ", events at once, " + what
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					s := newStack(t, 2)
					first, second := &lateUpstream{read: reading.read, early: early}, &lateUpstream{read: reading.read, early: early}
					s.startLateUpstream("late-1", first)
					s.startLateUpstream("late-2", second)
					for _, r := range s.replicas {
						s.store.Delete(r.StoreKey())
					}
					waitFor(t, "two upstreams", func() bool {
						return len(s.status(s.entries[0]).GetUpstreams()) == 2 && len(s.status(s.entries[1]).GetUpstreams()) == 2
					})
					ctx, leave := context.WithCancel(context.Background())
					defer leave()
					answers := make(chan callerResponse, 1)
					go func() {
						answers <- s.send(ctx, s.entries[0], callerRequest{path: "/chat/a", key: testKey, stream: true, body: strings.Repeat("u", lateBodyBytes)})
					}()
					waitFor(t, "the request at an upstream", func() bool { return first.large.Load()+second.large.Load() > 0 })
					time.Sleep(300 * time.Millisecond)
					event.do(s, leave)
					leftAt := time.Now()
					for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						for i, e := range s.entries {
							for _, u := range s.status(e).GetUpstreams() {
								if u.GetBanned() {
									t.Errorf("entry %d: got a ban of %s, want none", i, u.GetId())
								}
							}
						}
						if got := s.send(context.Background(), s.entries[1], callerRequest{path: "/read/a", key: testKey}); got.status != http.StatusOK {
							t.Errorf("got status %d for a small request, want 200", got.status)
						}
					}
					got := <-answers
					if whole := got.err == nil && got.status == http.StatusOK && strings.HasSuffix(got.body, "event: done\ndata: x\n\n"); whole != reading.whole && !event.cut {
						t.Errorf("got status %d, %d bytes, error %v, want a whole stream: %v", got.status, len(got.body), got.err, reading.whole)
					}
					if n := first.large.Load() + second.large.Load(); n != 1 {
						t.Errorf("got the request %d times at upstreams, want once", n)
					}
					if event.cut && early && !reading.whole {
						ended := func() time.Time {
							for _, u := range []*lateUpstream{first, second} {
								u.mu.Lock()
								defer u.mu.Unlock()
								if !u.ended.IsZero() {
									return u.ended
								}
							}
							return time.Time{}
						}
						if at := ended(); at.IsZero() || at.Sub(leftAt) > 500*time.Millisecond {
							t.Errorf("got the end at the upstream at %v, want it within 0.5 s of %v", at, leftAt)
						}
					}
				})
			}
		}
	}
}

// readAfter reads all after a time.
func readAfter(d time.Duration) func(body io.Reader) {
	return func(body io.Reader) {
		time.Sleep(d)
		_, _ = io.Copy(io.Discard, body) // It ends with the connection.
	}
}
