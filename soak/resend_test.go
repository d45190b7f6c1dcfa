package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestNotResent guards against a caller that sends a request a second time without a record of it, so that
// a rule of one request is applied to two.
func TestNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var requests, bodies atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.ContentLength != 0 {
					bodies.Add(1)
				}
				if requests.Add(1) == 2 {
					panic(http.ErrAbortHandler) // The connection breaks.
				}
			}))
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{}}
			for i := range 2 {
				req, err := http.NewRequest(method, server.URL, nil)
				if err != nil {
					t.Fatal(err)
				}
				keepFromResending(req)
				resp, err := client.Do(req)
				if broken := i == 1; (err != nil) != broken {
					t.Errorf("got error %v of request %d, want one of the second alone", err, i+1)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
			if got := requests.Load(); got != 2 {
				t.Errorf("got %d requests, want 2", got)
			}
			if got := bodies.Load(); got != 0 {
				t.Errorf("got %d requests with a body, want none", got)
			}
		})
	}
}
