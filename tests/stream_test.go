package tests

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cactustide/config"
	"cactustide/fakes"
)

// readStream returns the text of a stream and whether it was complete.
func readStream(resp *http.Response) (text string, complete bool) {
	var b strings.Builder
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

// openStream sends a streamed chat completion.
func (s *testStack) openStream(ctx context.Context, entry *process, key, class, content string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"service_tier":%q,"messages":[{"role":"user","content":%q}]}`, model, class, content)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return s.client.Do(req)
}

// TestResponseMatchesRequest sends thousands of streams with distinct contents
// through both entries, while callers cancel and engines abort streams.
func TestResponseMatchesRequest(t *testing.T) {
	const (
		callers   = 60
		perCaller = 50
	)
	seed := uint64(7)
	t.Logf("seed %d", seed)
	s := newStack(t, stackOptions{entries: 2, engines: 3, slots: 32, queue: 4096, engine: fakes.EngineOptions{TimePerToken: time.Millisecond, Prefill: 2 * time.Millisecond}, edit: setLongWaits})
	var complete, incomplete, cancelled, refused atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for i := range perCaller {
				content := fmt.Sprintf("caller %d question %d tokens=%d ", c, i, 4+random.IntN(12))
				if random.IntN(10) == 0 {
					content += fmt.Sprintf("cut=%d ", 1+random.IntN(3))
				}
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(10) == 0 {
					time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, cancel)
				}
				resp, err := s.openStream(ctx, s.entries[random.IntN(2)], eisklangKey, "question", content)
				if err != nil {
					cancelled.Add(1)
					cancel()
					continue
				}
				got, ended := readStream(resp)
				_ = resp.Body.Close()
				cancel()
				want := fakes.ExpectedOutput(content)
				switch {
				case resp.StatusCode != http.StatusOK:
					refused.Add(1)
				case ended && got != want:
					t.Errorf("%q: got %q, want %q", content, got, want)
				case ended && strings.Contains(content, "cut="):
					t.Errorf("%q: got a complete response, want an incomplete one", content)
				case ended:
					complete.Add(1)
				case !strings.HasPrefix(want, got):
					t.Errorf("%q: got %q, want a prefix of %q", content, got, want)
				default:
					incomplete.Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d complete, %d incomplete, %d cancelled, %d refused", complete.Load(), incomplete.Load(), cancelled.Load(), refused.Load())
	if complete.Load() < callers*perCaller/2 {
		t.Errorf("got %d complete responses, want at least half of %d", complete.Load(), callers*perCaller)
	}
}

// setLongWaits lets requests queue for longer than any test takes.
func setLongWaits(d *config.Document) {
	for i := range d.Classes {
		d.Classes[i].Wait = time.Minute
	}
}

// TestPublicClient checks that an unmodified public client library works.
func TestPublicClient(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 4, queue: 16})
	client := openai.NewClient(option.WithAPIKey(eisklangKey), option.WithBaseURL("http://"+s.entries[0].listen+"/v1/"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("wings tokens=5 ")}}
	want := fakes.ExpectedOutput("wings tokens=5 ")

	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != model {
		t.Errorf("got models %+v (%v), want %s", models, err, model)
	}
	completion, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil {
		t.Fatal(err)
	}
	if got := completion.Choices[0].Message.Content; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	got := ""
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			got += chunk.Choices[0].Delta.Content
		}
	}
	if stream.Err() != nil || got != want {
		t.Errorf("got %q (%v), want %q", got, stream.Err(), want)
	}
	bad := openai.NewClient(option.WithAPIKey("nobody"), option.WithBaseURL("http://"+s.entries[0].listen+"/v1/"), option.WithMaxRetries(0))
	_, err = bad.Chat.Completions.New(context.Background(), params)
	var apiErr *openai.Error
	if !asAPIError(err, &apiErr) || apiErr.StatusCode != http.StatusUnauthorized {
		t.Errorf("got %v, want status 401 in the client's own error type", err)
	}
}

func asAPIError(err error, target **openai.Error) bool {
	found, ok := err.(*openai.Error)
	*target = found
	return ok
}

// TestInvalidRequests checks the responses to invalid requests.
func TestInvalidRequests(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, plains: 1, slots: 4, queue: 16, edit: func(d *config.Document) { d.Partners[1].Teams[0].Limit = 1 }})
	first := s.sendAction(s.entries[0], "used", 5*time.Second)
	if first.status != http.StatusOK {
		t.Fatalf("got %+v, want 200", first)
	}
	tests := map[string]struct {
		path, key, body string
		header          map[string]string
		status          int
		contains        string
	}{
		"unknown key":     {path: "/v1/chat/completions", key: "nobody", body: "{}", status: 401, contains: `"param":"Authorization"`},
		"no model":        {path: "/v1/chat/completions", key: eisklangKey, body: `{"messages":[{}]}`, status: 400, contains: `"param":"model"`},
		"bad messages":    {path: "/v1/chat/completions", key: eisklangKey, body: `{"model":"birch","messages":{}}`, status: 400, contains: `"param":"messages"`},
		"bad stream":      {path: "/v1/chat/completions", key: eisklangKey, body: `{"model":"birch","messages":[{}],"stream":"yes"}`, status: 400, contains: `"param":"stream"`},
		"not JSON":        {path: "/v1/chat/completions", key: eisklangKey, body: `{`, status: 400, contains: `"param":"body"`},
		"own priority":    {path: "/v1/chat/completions", key: eisklangKey, body: `{"model":"birch","messages":[{}],"priority":0}`, status: 400, contains: `"param":"priority"`},
		"foreign class":   {path: "/v1/chat/completions", key: eisklangKey, body: `{"model":"birch","messages":[{}],"service_tier":"lookup"}`, status: 400, contains: `"param":"service_tier"`},
		"unknown model":   {path: "/v1/chat/completions", key: eisklangKey, body: `{"model":"oak","messages":[{}]}`, status: 404, contains: `"param":"model"`},
		"too large":       {path: "/v1/chat/completions", key: eisklangKey, body: strings.Repeat("x", 17<<20), status: 413, contains: "16777216"},
		"once, no key":    {path: "/s/records/permits", key: gyeongnamKey, body: "p", status: 400, contains: `"param":"Idempotency-Key"`},
		"key used":        {path: "/s/records/permits", key: gyeongnamKey, header: map[string]string{"Idempotency-Key": "used"}, body: "other", status: 422, contains: `"code":"mismatch"`},
		"unknown service": {path: "/s/trucks/x", key: gyeongnamKey, body: "p", status: 404, contains: `"run":"none"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := s.call(s.entries[0], http.MethodPost, test.path, test.key, test.header, test.body, 5*time.Second)
			if got.status != test.status || !strings.Contains(got.body, test.contains) {
				t.Errorf("got %d %s, want %d with %s", got.status, got.body, test.status, test.contains)
			}
		})
	}
	t.Run("team limit", func(t *testing.T) {
		var limited atomic.Int64
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() {
				r := s.call(s.entries[0], http.MethodGet, "/s/records/x", gyeongnamKey, nil, "", 5*time.Second)
				if r.status == http.StatusTooManyRequests && r.execution == "none" {
					limited.Add(1)
				}
			})
		}
		wg.Wait()
		if limited.Load() == 0 {
			t.Error("got no 429, want some: the team's limit is 1")
		}
	})
}

// TestGracefulShutdown stops agents and entries under streaming load. No stream may
// break, and a leaving upstream gets no new requests after two seconds.
func TestGracefulShutdown(t *testing.T) {
	tests := map[string]struct {
		stop func(s *testStack)
		// stoppedEngine is the index of the engine that gets no new requests; -1 for none.
		stoppedEngine int
	}{
		"operator drains an upstream": {stoppedEngine: 0, stop: func(s *testStack) {
			s.apply(func(d *config.Document) { setLongWaits(d); d.Drains = []string{"birch-0"} })
		}},
		"agent gets SIGTERM": {stoppedEngine: 0, stop: func(s *testStack) { s.agents[0].signal(syscall.SIGTERM) }},
		"host list marks the agent as leaving": {stoppedEngine: 0, stop: func(s *testStack) {
			s.kv.SetHost(leavingHost(s.agents[0]))
		}},
		"entry gets SIGTERM": {stoppedEngine: -1, stop: func(s *testStack) { s.entries[0].signal(syscall.SIGTERM) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, stackOptions{entries: 2, engines: 3, slots: 16, queue: 256, engine: fakes.EngineOptions{TimePerToken: 10 * time.Millisecond, Prefill: 5 * time.Millisecond}, edit: setLongWaits})
			load := startStreamLoad(t, s, 24)
			time.Sleep(500 * time.Millisecond)
			test.stop(s)
			// The list of hosts lags and is polled every two seconds; a change in it
			// counts only then.
			time.Sleep(2*time.Second + 500*time.Millisecond)
			var before int64
			if test.stoppedEngine >= 0 {
				before = s.engines[test.stoppedEngine].ReceivedRequests()
			}
			time.Sleep(time.Second)
			if test.stoppedEngine >= 0 {
				if got := s.engines[test.stoppedEngine].ReceivedRequests() - before; got != 0 {
					t.Errorf("got %d new requests at the leaving upstream, want none", got)
				}
			}
			load.stop()
			if test.stoppedEngine < 0 {
				s.waitFor("the entry's exit", 5*time.Second, s.entries[0].hasExited)
			}
			if load.broken.Load() != 0 {
				t.Errorf("got %d broken streams, want none", load.broken.Load())
			}
			t.Logf("%d complete, %d not accepted", load.complete.Load(), load.unaccepted.Load())
		})
	}
}

// TestStopWithUnusedConnection guards against a planned stop of an entry that waits for
// connections on which no request has begun, opened before the stop and during it.
func TestStopWithUnusedConnection(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 16, queue: 256, edit: setLongWaits})
	open := func() {
		c, err := net.Dial("tcp", s.entries[0].listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	open()
	s.entries[0].signal(syscall.SIGTERM)
	time.Sleep(1700 * time.Millisecond)
	open()
	// It serves for 2 s from the signal, until the load balancer has noticed.
	s.waitFor("the entry's exit", 4*time.Second, s.entries[0].hasExited)
}

func leavingHost(p *process) fakes.KVHost {
	host, port, _ := strings.Cut(p.listen, ":")
	h := fakes.KVHost{Name: p.name, Address: host, Peer: p.peer, Group: model, Leaving: true}
	fmt.Sscan(port, &h.Port)
	return h
}

// streamLoad is a steady load of streams over all entries.
type streamLoad struct {
	complete, broken, unaccepted atomic.Int64
	done                         chan struct{}
	wg                           sync.WaitGroup
}

func startStreamLoad(t *testing.T, s *testStack, callers int) *streamLoad {
	l := &streamLoad{done: make(chan struct{})}
	for c := range callers {
		l.wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.done:
					return
				default:
				}
				content := fmt.Sprintf("stream %d %d tokens=60 ", c, i)
				resp, err := s.openStream(context.Background(), s.entries[(c+i)%len(s.entries)], eisklangKey, "question", content)
				if err != nil {
					l.unaccepted.Add(1) // A load balancer would have chosen a ready entry.
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if resp.StatusCode != http.StatusOK {
					text, _ := io.ReadAll(resp.Body) // The status alone counts.
					_ = resp.Body.Close()
					l.unaccepted.Add(1)
					t.Logf("not accepted: status %d: %.300q", resp.StatusCode, text)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				got, complete := readStream(resp)
				_ = resp.Body.Close()
				switch {
				case complete && got == fakes.ExpectedOutput(content):
					l.complete.Add(1)
				default:
					l.broken.Add(1)
					t.Logf("broken: %q", got)
				}
			}
		})
	}
	return l
}

func (l *streamLoad) stop() {
	close(l.done)
	l.wg.Wait()
}
