package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cactustide/fakes"
)

// TestRefusalInCalm guards against a 503 in place of a 404 where nothing is wrong (DENIED), for each
// time within which a change must be in force, by entries that watch the store and by those that follow.
func TestRefusalInCalm(t *testing.T) {
	const calmTime = 4 * time.Second
	for _, entries := range []int{1, 9} {
		for _, apply := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d entries, in force within %v", entries, apply), func(t *testing.T) {
				t.Parallel()
				log := &fakes.LogBuffer{}
				s := newStackOf(t, stackOptions{entries: entries, fullWait: true, applyTimeout: apply, log: log})
				if entries >= 8 {
					s.waitForRoles()
				}
				time.Sleep(2 * time.Second) // What messages are late by is known.
				before := s.store.CallCounts()
				var sending sync.WaitGroup
				for i, e := range s.entries {
					sending.Go(func() {
						refused, unknown := 0, 0
						worst := 0.0
						for end := time.Now().Add(calmTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
							got := s.send(context.Background(), e, callerRequest{method: http.MethodGet, path: "/none/a", key: testKey})
							if got.status == http.StatusNotFound {
								refused++
								continue
							}
							unknown++
							if age, ok := log.LastLine(t, got.id)["confirmed"].(float64); ok {
								worst = max(worst, age)
							}
						}
						if unknown > 0 {
							t.Errorf("entry %d: got %d answers of %d other than 404, copy up to %v ms old, want none", i, unknown, refused+unknown, worst)
						}
					})
				}
				sending.Wait()
				after := s.store.CallCounts()
				t.Logf("calls to the store in %v: before %v, after %v", calmTime, before, after)
			})
		}
	}
}
