package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is one attempt of a client.
type call struct {
	id, method, path string
	// parts are the shared parts of the prompt; the last one is the request's own.
	parts []string
	// partTokens is the length of each part.
	partTokens int
	timeout    time.Duration
	events     int
}

// outcome is what a client saw of a call.
type outcome struct {
	call
	entry         *entry
	sentAt, ended time.Time
	firstAt       time.Time
	status        int
	whole         bool
	// kept is set if the connection had carried a request before.
	kept bool
	err  string
}

// took returns how long the client waited for the end of the answer.
func (o *outcome) took() time.Duration { return o.ended.Sub(o.sentAt) }

// client sends calls over kept connections and records them.
type client struct {
	rec       *record
	transport *http.Transport
	mu        sync.Mutex
	outcomes  []*outcome
	pending   sync.WaitGroup
}

func newClient(rec *record) *client {
	return &client{rec: rec, transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// start sends a call in the background. The client leaves at its time limit.
func (c *client) start(e *entry, x call) {
	c.pending.Go(func() {
		o := c.send(e, x)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	})
}

func (c *client) send(e *entry, x call) *outcome {
	o := &outcome{call: x, entry: e, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), x.timeout)
	defer cancel()
	defer func() {
		o.ended = time.Now()
		c.rec.line("answer %s from %s status %d whole %v after %.3f s %s", x.id, e.name, o.status, o.whole, o.took().Seconds(), o.err)
	}()
	body := ""
	if x.method == http.MethodPost {
		body = "body of " + x.id
	}
	req, err := http.NewRequestWithContext(ctx, x.method, "http://"+e.address()+x.path, strings.NewReader(body))
	if err != nil {
		o.err = err.Error()
		return o
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { o.kept = i.Reused },
	}))
	req.Host = siteHost
	req.Header.Set("Cactustide-Request-Id", x.id)
	req.Header.Set("Cactustide-Deadline-Ms", strconv.FormatInt(x.timeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if len(x.parts) > 0 {
		var prefix strings.Builder
		for _, p := range x.parts {
			prefix.WriteString(p + ":" + strconv.Itoa(x.partTokens) + ",")
		}
		req.Header.Set("Cactustide-Model", "m")
		req.Header.Set("Cactustide-Token-Usage", strconv.Itoa(len(x.parts)*x.partTokens+40)+","+strconv.Itoa(4*x.events))
		req.Header.Set("Cactustide-Prompt-Prefix", prefix.String()+x.id+":40")
	}
	c.rec.line("send %s to %s %s %s", x.id, e.name, x.method, x.path)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		o.err = err.Error()
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	if len(x.parts) == 0 || resp.StatusCode != http.StatusOK {
		got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		o.firstAt = time.Now()
		o.whole = err == nil && (resp.StatusCode != http.StatusOK || string(got) == bodyOf(x.id))
		if err != nil {
			o.err = err.Error()
		}
		return o
	}
	return c.readStream(o, resp)
}

// readStream reads the events of a stream to its end.
func (c *client) readStream(o *outcome, resp *http.Response) *outcome {
	reader := bufio.NewReader(resp.Body)
	n := 0
	for {
		line, err := reader.ReadString('\n')
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && err == nil {
			if o.firstAt.IsZero() {
				o.firstAt = time.Now()
			}
			n++
			if value != strconv.Itoa(n) {
				o.err = "event " + value + " in the place of " + strconv.Itoa(n)
				return o
			}
		}
		if err == io.EOF {
			o.whole = n == o.events
			if !o.whole {
				o.err = "the stream ends as complete after " + strconv.Itoa(n) + " events"
			}
			return o
		}
		if err != nil {
			o.err = "broken off after " + strconv.Itoa(n) + " events: " + err.Error()
			return o
		}
	}
}

// wait waits for all calls and returns them.
func (c *client) wait() []*outcome {
	c.pending.Wait()
	c.transport.CloseIdleConnections()
	return c.outcomes
}

// every calls f n times a second until the time is up.
func every(perSecond float64, length time.Duration, f func(i int)) {
	begin := time.Now()
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if at.Sub(begin) >= length {
			return
		}
		time.Sleep(time.Until(at))
		f(i)
	}
}
