package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

var errIncomplete = errors.New("event stream ended before [DONE]")

// caller sends chat completions to an entry or an engine.
type caller struct {
	client     *http.Client
	fastClient *fasthttp.Client
	baseURL    string
}

func newCaller(address string) *caller {
	return &caller{
		client:     &http.Client{Transport: &http.Transport{MaxIdleConns: 1 << 14, MaxIdleConnsPerHost: 1 << 14}},
		fastClient: &fasthttp.Client{MaxConnsPerHost: 1 << 12},
		baseURL:    "http://" + address,
	}
}

// streamTiming holds the latencies of one stream; eventGaps are the times between two
// events.
type streamTiming struct {
	timeToFirst time.Duration
	eventGaps   []time.Duration
}

// unary sends a short chat completion through fasthttp, which uses less processor time
// than net/http, so that the load generator disturbs the measurement less.
func (c *caller) unary(content string) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+callerAPIKey)
	req.SetBodyString(fmt.Sprintf(`{"model":"birch","messages":[{"role":"user","content":%q}]}`, content))
	if err := c.fastClient.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("chat completion: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

// chat sends a chat completion and reads the response to its end.
func (c *caller) chat(class, content string, stream bool) (streamTiming, error) {
	body := fmt.Sprintf(`{"model":"birch","stream":%v,"service_tier":%q,"messages":[{"role":"user","content":%q}]}`, stream, class, content)
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, c.baseURL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return streamTiming{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerAPIKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return streamTiming{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return streamTiming{}, fmt.Errorf("chat completion: status %d: %s", resp.StatusCode, text)
	}
	if !stream {
		_, err := io.Copy(io.Discard, resp.Body)
		return streamTiming{timeToFirst: time.Since(start)}, err
	}
	return readEvents(resp.Body, start)
}

func readEvents(body io.Reader, start time.Time) (streamTiming, error) {
	var t streamTiming
	var lastEvent time.Time
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return t, nil
		}
		now := time.Now()
		if lastEvent.IsZero() {
			t.timeToFirst = now.Sub(start)
		} else {
			t.eventGaps = append(t.eventGaps, now.Sub(lastEvent))
		}
		lastEvent = now
	}
	return t, errIncomplete
}

// parallel makes n calls from a number of goroutines, and returns the first error after
// all calls have ended.
func parallel(n, goroutines int, call func(i int) error) error {
	var next atomic.Int64
	var failed atomic.Value
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				if err := call(i); err != nil {
					failed.CompareAndSwap(nil, err)
				}
			}
		})
	}
	wg.Wait()
	if err, ok := failed.Load().(error); ok {
		return err
	}
	return nil
}

// histogram records latencies in microseconds; it is safe for concurrent use.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hist: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	_ = h.hist.RecordValue(max(1, d.Microseconds()))
	h.mu.Unlock()
}

// percentile returns a percentile, from 0 to 100, in milliseconds.
func (h *histogram) percentile(percent float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.hist.ValueAtQuantile(percent)) / 1000
}
