package direct_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStreamBeforeRecord guards against a stream that goes on at another release (ORDER), as its own was
// not in the record yet when all entries were killed, and had left when they started again.
func TestStreamBeforeRecord(t *testing.T) {
	for name, test := range map[string]struct {
		// away is for how long the store cannot be reached once the release is known.
		away time.Duration
		// recorded is set if the release is in the record before the entries are killed.
		recorded bool
	}{
		"control, recorded":            {recorded: true},
		"the store is away for 500 ms": {away: 500 * time.Millisecond},
		"the store is away for 3 s":    {away: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 2, fullWait: true, first: true})}
			s.store.Put("op/config", s.configOf(2, takeRoute))
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
			}
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			s.waitForRecord("v1")
			s.joinVersion("v2", []int{0, 1})
			if test.recorded {
				s.waitForRecord("v2")
			}
			for _, e := range s.entries {
				e.storeCut.Store(test.away > 0)
			}
			time.Sleep(test.away)
			list := s.beginOf("v2")
			recorded := strings.Contains(string(s.store.Value(s.recordKey())), `"v2"`)
			for _, e := range s.entries {
				e.closed = true
				e.Close()
			}
			s.leaveAt("v2", nil)
			s.restartAll()
			for _, begun := range list {
				got := s.resume(s.entries[1], begun, nil)
				if versions := s.versionsOf(got.id); got.status == http.StatusOK || len(versions) != 0 {
					t.Errorf("got status %d, runs %v of a stream of v2, which was in the record when they were killed: %v, want none", got.status, versions, recorded)
				}
			}
		})
	}
}
