package direct

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/rules"
	"cactustide/setup"
	"cactustide/store"

	"github.com/zeebo/errs"
)

var errLost = errs.New("answer lost")

// fakeHistory is a store that keeps its whole history in memory.
type fakeHistory struct {
	events    []store.Item
	revision  uint64
	compacted uint64
}

func (h *fakeHistory) write(item store.Item) {
	h.revision++
	item.Revision = h.revision
	h.events = append(h.events, item)
}

func (h *fakeHistory) list(prefix string, upTo uint64) []store.Item {
	latest := map[string]store.Item{}
	for _, item := range h.events {
		if item.Revision <= upTo && strings.HasPrefix(item.Key, prefix) {
			latest[item.Key] = item
		}
	}
	var items []store.Item
	for _, item := range latest {
		if !item.Deleted {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

func (h *fakeHistory) since(prefix string, after, upTo uint64) []store.Item {
	var items []store.Item
	for _, item := range h.events {
		if item.Revision > after && item.Revision <= upTo && strings.HasPrefix(item.Key, prefix) {
			items = append(items, item)
		}
	}
	return items
}

func decodeFake(item store.Item) (Change, error) {
	id, isUpstream := strings.CutPrefix(item.Key, "servers/")
	switch {
	case item.Deleted && isUpstream:
		return Change{Removed: id}, nil
	case isUpstream:
		var u fleet.Upstream
		if err := json.Unmarshal(item.Value, &u); err != nil {
			return Change{Invalid: id}, err
		}
		u.ID, u.Revision = id, item.Revision
		return Change{Upstream: &u}, nil
	default:
		var d rules.Document
		err := json.Unmarshal(item.Value, &d)
		return Change{Document: &d}, err
	}
}

// simulation is a number of entries on one store, driven step by step.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	store    fakeHistory
	version  uint64
	sequence int64
	entries  []*Entry
	watchers []*prefixWatcher
	// kept are snapshots of peers that have not arrived yet.
	kept  []keptSnapshot
	calm  bool
	now   time.Time
	close []func()
}

type keptSnapshot struct {
	to, prefix int
	items      []store.Item
	revision   uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 19)), now: time.Unix(1000, 0)}
	client := &store.ListWatch{
		List: func(prefix string, _ time.Duration) ([]store.Item, uint64, error) {
			upTo := s.store.revision
			items := s.store.list(prefix, upTo)
			return items, upTo, s.answer()
		},
		Watch: func(prefix string, after uint64, _ time.Duration) (store.Changes, error) {
			if after < s.store.compacted {
				return store.Changes{Compacted: true}, s.answer()
			}
			upTo := s.store.revision
			items := s.store.since(prefix, after, upTo)
			return store.Changes{Items: items, Revision: upTo}, s.answer()
		},
	}
	codec := ItemCodec{Prefixes: []string{"op/config", "servers/"}, Decode: decodeFake}
	for i := range 2 {
		m := meter.New("test")
		e := New(&setup.DirectSettings{Name: fmt.Sprint(i)}, HeaderCodec{}, codec, client, meter.NewLogger(discard{}, "error", "json", "direct"), m)
		s.close = append(s.close, m.Close)
		s.entries = append(s.entries, e)
		for prefix := range codec.Prefixes {
			s.watchers = append(s.watchers, &prefixWatcher{entry: e, prefix: prefix, log: e.log})
		}
	}
	return s
}

// answer delays an answer by writes and snapshots that overtake it, or loses it.
func (s *simulation) answer() error {
	if s.calm {
		return nil
	}
	for range s.random.IntN(3) {
		s.write()
	}
	if s.random.IntN(4) == 0 {
		s.deliver()
	}
	if s.random.IntN(4) == 0 {
		return errLost
	}
	return nil
}

func (s *simulation) write() {
	id := fmt.Sprintf("u%d", s.random.IntN(4))
	switch s.random.IntN(6) {
	case 0:
		s.version++
		value, _ := json.Marshal(rules.Document{Version: s.version})
		s.store.write(store.Item{Key: "op/config", Value: value})
	case 1, 2:
		s.store.write(store.Item{Key: "servers/" + id, Deleted: true})
	case 3:
		s.store.write(store.Item{Key: "servers/" + id, Value: []byte("unreadable")})
	default:
		s.sequence++
		u := fleet.Upstream{Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: s.sequence, Draining: s.random.IntN(3) == 0}
		value, _ := json.Marshal(u)
		s.store.write(store.Item{Key: "servers/" + id, Value: value})
	}
}

// deliver applies a snapshot that a peer sent earlier.
func (s *simulation) deliver() {
	if len(s.kept) == 0 {
		return
	}
	i := s.random.IntN(len(s.kept))
	k := s.kept[i]
	s.kept = append(s.kept[:i], s.kept[i+1:]...)
	s.entries[k.to].replaceItems(s.now, k.prefix, sourcePeer, k.items, k.revision)
}

func (s *simulation) step() {
	switch draw := s.random.IntN(10); {
	case draw < 3:
		s.write()
	case draw < 7:
		w := s.watchers[s.random.IntN(len(s.watchers))]
		_ = w.poll() // An error is a lost answer.
	case draw < 8:
		from, prefix := s.random.IntN(2), s.random.IntN(2)
		items, revision := s.entries[from].itemCaches[prefix].all()
		s.kept = append(s.kept, keptSnapshot{to: 1 - from, prefix: prefix, items: items, revision: revision})
	case draw < 9:
		s.deliver()
	default:
		s.store.compacted = s.store.revision - uint64(s.random.IntN(3))%(s.store.revision+1)
	}
	s.now = s.now.Add(time.Millisecond)
}

// TestStoreAnswers guards against an entry that stays behind the store, goes back to an
// older configuration or keeps an upstream that left, whatever is delayed, reordered or
// lost: answers of the store, snapshots of peers, the history, unreadable items.
func TestStoreAnswers(t *testing.T) {
	for seed := range uint64(300) {
		s := newSimulation(t, seed)
		var versions [2]uint64
		for range 120 {
			s.step()
			for i, e := range s.entries {
				if got := e.rules.Version(); got < versions[i] {
					t.Fatalf("seed %d: got version %d after %d", seed, got, versions[i])
				}
				versions[i] = e.rules.Version()
			}
		}
		s.calm = true
		for range 3 {
			for _, w := range s.watchers {
				if err := w.poll(); err != nil {
					t.Fatalf("seed %d: got error %v on a calm store", seed, err)
				}
			}
		}
		s.check(seed)
		for _, f := range s.close {
			f()
		}
	}
}

// check compares the entries with the store.
func (s *simulation) check(seed uint64) {
	s.t.Helper()
	listed, ready := map[string]bool{}, map[string]bool{}
	for _, item := range s.store.list("servers/", s.store.revision) {
		id := strings.TrimPrefix(item.Key, "servers/")
		listed[id] = true
		if c, err := decodeFake(item); err == nil && !c.Upstream.Draining {
			ready[id] = true
		}
	}
	for i, e := range s.entries {
		if got := e.rules.Version(); got != s.version {
			s.t.Errorf("seed %d, entry %d: got version %d, want %d", seed, i, got, s.version)
		}
		got := map[string]bool{}
		for _, c := range e.fleet.Candidates(s.now, "s") {
			got[c.ID] = true
			if !listed[c.ID] {
				s.t.Errorf("seed %d, entry %d: got %s in use, want it gone", seed, i, c.ID)
			}
		}
		for id := range ready {
			if !got[id] {
				s.t.Errorf("seed %d, entry %d: got %s not in use, want it", seed, i, id)
			}
		}
	}
}
