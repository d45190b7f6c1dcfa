package direct_test

import (
	"fmt"
	"testing"
	"time"
)

// TestRecordKeeperCutOff guards against a stream that goes on at another release at an entry that has just
// started, as the entry that keeps the record of releases was cut off from the store while a release
// came and left (ORDER).
func TestRecordKeeperCutOff(t *testing.T) {
	for _, cut := range []int{-1, 0, 1, 2} {
		name := fmt.Sprintf("entry %d is cut off", cut)
		if cut < 0 {
			name = "control"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 3, fullWait: true, first: true})}
			s.store.Put("op/config", s.configOf(2, takeRoute))
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
				waitFor(t, "members", func() bool { return e.AliveEntries() == 3 })
			}
			s.waitForRecord("v1")
			if cut >= 0 {
				s.entries[cut].storeCut.Store(true)
				time.Sleep(3 * time.Second)
			}
			s.joinVersion("v2", []int{0, 1, 2})
			begun := s.beginOf("v2")
			time.Sleep(2 * time.Second)
			s.leaveAt("v2", nil)
			time.Sleep(2 * time.Second)
			next := s.newEntry(3)
			s.entries = append(s.entries, next)
			waitFor(t, "ready", func() bool { return s.isReady(next) })
			for _, e := range s.entries[:3] {
				e.Close()
				e.closed = true
			}
			time.Sleep(500 * time.Millisecond)
			s.takeUp("after the start", next, begun, false)
			time.Sleep(2 * time.Second)
			s.takeUp("2 s later", next, begun, false)
		})
	}
}
