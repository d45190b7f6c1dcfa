package claim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var errNoReply = errors.New("no reply")

type versionedRecord struct {
	record  Record
	version uint64
}

// lossyStore is a store that loses replies, before or after the write takes
// effect, or delays writes.
type lossyStore struct {
	keys     map[string]versionedRecord
	random   *rand.Rand
	lossRate float64
	delayed  []func()
}

func newLossyStore(seed uint64, lossRate float64) *lossyStore {
	return &lossyStore{keys: map[string]versionedRecord{}, random: rand.New(rand.NewPCG(seed, 1)), lossRate: lossRate}
}

func (l *lossyStore) store() Store {
	return Store{
		Read: func(key string) (Record, uint64, error) {
			if l.random.Float64() < l.lossRate {
				return Record{}, 0, errNoReply
			}
			v := l.keys[key]
			return v.record, v.version, nil
		},
		Swap: func(key string, r Record, version uint64) (bool, error) {
			apply := func() bool {
				if l.keys[key].version != version {
					return false
				}
				l.keys[key] = versionedRecord{record: r, version: version + 1}
				return true
			}
			if l.random.Float64() >= l.lossRate {
				return apply(), nil
			}
			switch l.random.IntN(3) {
			case 0:
				apply()
			case 1:
				l.delayed = append(l.delayed, func() { apply() })
			}
			return false, errNoReply
		},
	}
}

func (l *lossyStore) applyDelayed() {
	for _, f := range l.delayed {
		f()
	}
	l.delayed = nil
}

// TestTakeStartsOnce checks that a key starts at most once while several runs
// take few keys, replies are lost and writes are delayed. Without a claim, a run
// that only reads the record before its start runs keys twice under the same
// schedules.
func TestTakeStartsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLossyStore(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.7).Draw(t, "lose"))
		s := l.store()
		starts := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "runs") {
			key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
			run := fmt.Sprint("run-", i)
			verdict, record, _ := Take(s, key, run, "agent", 1)
			if rapid.Bool().Draw(t, "late writes arrive") {
				l.applyDelayed()
			}
			if verdict != Start {
				continue
			}
			if record.RunID != run {
				t.Fatalf("got record of %s, want of %s", record.RunID, run)
			}
			if rapid.IntRange(0, 3).Draw(t, "unreachable") == 0 {
				_, _ = Release(s, key, record)
				continue
			}
			starts[key]++
			_ = Finish(s, key, record)
		}
		for key, got := range starts {
			if got > 1 {
				t.Fatalf("%s: got %d starts, want at most 1", key, got)
			}
		}
	})
}

// TestNaiveRunsTwice checks that the schedules of TestTakeStartsOnce can detect a
// second start: a run without a claim starts keys twice.
func TestNaiveRunsTwice(t *testing.T) {
	twice := 0
	for seed := range uint64(100) {
		s := newLossyStore(seed, 0.3).store()
		starts := 0
		for range 5 {
			if _, version, err := s.Read("key"); err == nil && version == 0 {
				starts++
				_, _ = s.Swap("key", Record{RunID: "r", Phase: Done}, 0)
			}
		}
		if starts > 1 {
			twice++
		}
	}
	if twice == 0 {
		t.Error("got no seed under which the naive version runs twice, want some")
	}
}

// TestTakeVerdicts checks the verdict on a retry by the record of its key.
func TestTakeVerdicts(t *testing.T) {
	tests := map[string]struct {
		record      Record
		fingerprint uint64
		want        Verdict
	}{
		"absent":        {fingerprint: 1, want: Start},
		"void":          {record: Record{RunID: "a", Phase: Void, Fingerprint: 1}, fingerprint: 1, want: Start},
		"running":       {record: Record{RunID: "a", Phase: Claimed, Fingerprint: 1}, fingerprint: 1, want: Running},
		"done":          {record: Record{RunID: "a", Phase: Done, Fingerprint: 1}, fingerprint: 1, want: Replay},
		"other content": {record: Record{RunID: "a", Phase: Done, Fingerprint: 2}, fingerprint: 1, want: Mismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLossyStore(1, 0)
			if test.record.RunID != "" {
				l.keys["k"] = versionedRecord{record: test.record, version: 1}
			}
			got, _, err := Take(l.store(), "k", "b", "agent", test.fingerprint)
			if got != test.want || err != nil {
				t.Errorf("got %v (%v), want %v", got, err, test.want)
			}
		})
	}
}
