package direct

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	era       uint64
	revision  uint64
	compacted uint64
}

func (h *fakeHistory) write(item store.Item) {
	h.revision++
	item.Position = store.Position{Era: h.era, Revision: h.revision}
	h.events = append(h.events, item)
}

// position returns the position of a revision in the present era.
func (h *fakeHistory) position(revision uint64) store.Position {
	return store.Position{Era: h.era, Revision: revision}
}

// comeBack makes the store come back from a copy in the next era.
func (h *fakeHistory) comeBack(from fakeHistory) {
	era := h.era + 1
	*h = from
	h.era, h.events = era, slices.Clone(from.events)
	for i := range h.events {
		h.events[i].Position.Era = era
	}
}

func (h *fakeHistory) list(prefix string, upTo uint64) []store.Item {
	latest := map[string]store.Item{}
	for _, item := range h.events {
		if item.Position.Revision <= upTo && strings.HasPrefix(item.Key, prefix) {
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
		if item.Position.Revision > after && item.Position.Revision <= upTo && strings.HasPrefix(item.Key, prefix) {
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
		u.ID, u.Position = id, item.Position
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
	kept []keptSnapshot
	// copied is a copy of the store, latest what was written last for each key, and lost the
	// keys that are still to be written again after a return from the copy.
	copied  fakeHistory
	latest  map[string]store.Item
	lost    []string
	returns bool
	calm    bool
	now     time.Time
	close   []func()
}

type keptSnapshot struct {
	to, prefix int
	items      []store.Item
	position   store.Position
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 19)), now: time.Unix(1000, 0), latest: map[string]store.Item{}}
	client := &store.ListWatch{
		List: func(prefix string, _ time.Duration) ([]store.Item, store.Position, error) {
			position := s.store.position(s.store.revision)
			items := s.store.list(prefix, position.Revision)
			return items, position, s.answer()
		},
		Watch: func(prefix string, after store.Position, _ time.Duration) (store.Changes, error) {
			if after.Revision < s.store.compacted || after.Revision > s.store.revision {
				return store.Changes{Compacted: true}, s.answer()
			}
			position := s.store.position(s.store.revision)
			items := s.store.since(prefix, after.Revision, position.Revision)
			return store.Changes{Items: items, Position: position}, s.answer()
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
	if s.returns && s.random.IntN(20) == 0 {
		s.comeBack()
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
		s.put(store.Item{Key: "op/config", Value: value})
	case 1, 2:
		s.put(store.Item{Key: "servers/" + id, Deleted: true})
	case 3:
		s.put(store.Item{Key: "servers/" + id, Value: []byte("unreadable")})
	default:
		s.register(id, s.random.IntN(3) == 0)
	}
}

// put writes an item, which need not be written again any more.
func (s *simulation) put(item store.Item) {
	s.store.write(item)
	s.latest[item.Key] = item
	s.lost = slices.DeleteFunc(s.lost, func(key string) bool { return key == item.Key })
}

func (s *simulation) register(id string, draining bool) {
	s.sequence++
	u := fleet.Upstream{Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: s.sequence, Draining: draining}
	value, _ := json.Marshal(u) // Plain values always encode.
	s.put(store.Item{Key: "servers/" + id, Value: value})
}

// comeBack makes the store come back from its copy.
func (s *simulation) comeBack() {
	s.store.comeBack(s.copied)
	s.lost = slices.Sorted(maps.Keys(s.latest))
	s.random.Shuffle(len(s.lost), func(i, j int) { s.lost[i], s.lost[j] = s.lost[j], s.lost[i] })
}

// writeAgain writes one of the items again that the store may have lost. An upstream that runs
// has written more registrations since.
func (s *simulation) writeAgain() {
	if len(s.lost) == 0 {
		return
	}
	item := s.latest[s.lost[0]]
	var u fleet.Upstream
	if id, ok := strings.CutPrefix(item.Key, "servers/"); ok && !item.Deleted && json.Unmarshal(item.Value, &u) == nil {
		s.register(id, u.Draining)
		return
	}
	s.put(item)
}

// deliver applies a snapshot that a peer sent earlier.
func (s *simulation) deliver() {
	if len(s.kept) == 0 {
		return
	}
	i := s.random.IntN(len(s.kept))
	k := s.kept[i]
	s.kept = append(s.kept[:i], s.kept[i+1:]...)
	s.entries[k.to].replaceItems(s.now, k.prefix, sourcePeer, k.items, k.position)
}

func (s *simulation) step() {
	switch draw := s.random.IntN(10); {
	case draw < 3:
		s.write()
	case draw < 7:
		w := s.watchers[s.random.IntN(len(s.watchers))]
		_ = w.poll(time.Now()) // An error is a lost answer.
	case draw < 8:
		from, prefix := s.random.IntN(2), s.random.IntN(2)
		items, position := s.entries[from].itemCaches[prefix].all()
		s.kept = append(s.kept, keptSnapshot{to: 1 - from, prefix: prefix, items: items, position: position})
	case draw < 9:
		s.deliver()
	default:
		s.store.compacted = s.store.revision - uint64(s.random.IntN(3))%(s.store.revision+1)
	}
	if s.returns {
		switch s.random.IntN(12) {
		case 0:
			s.copied = s.store
		case 1:
			s.comeBack()
		case 2, 3:
			s.writeAgain()
		}
	}
	s.now = s.now.Add(time.Millisecond)
}

// TestStoreAnswers guards against an entry that stays behind the store, goes back to an
// older configuration or keeps an upstream that left, whatever is delayed, reordered or
// lost: answers of the store, snapshots of peers, the history, unreadable items.
func TestStoreAnswers(t *testing.T) {
	for seed := range uint64(300) {
		newSimulation(t, seed).run(seed)
	}
}

// TestStoreAnswersOfEras guards against the same where the store also comes back from older
// copies and gives its revisions out again (CONFIG, DRAIN): no entry stays behind, and none goes
// back to a registration that it knows to be outdated.
func TestStoreAnswersOfEras(t *testing.T) {
	for seed := range uint64(600) {
		s := newSimulation(t, seed)
		s.returns = true
		s.run(seed)
	}
}

// run plays random steps and then a calm store.
func (s *simulation) run(seed uint64) {
	s.t.Helper()
	var versions [2]uint64
	// known are the highest numbers of registrations that each entry has had, and removed those
	// of upstreams that it dropped.
	var known, removed [2]map[string]int64
	for i := range s.entries {
		known[i], removed[i] = map[string]int64{}, map[string]int64{}
	}
	for range 120 {
		s.step()
		for i, e := range s.entries {
			if got := e.rules.Version(); got < versions[i] {
				s.t.Fatalf("seed %d: got version %d after %d", seed, got, versions[i])
			}
			versions[i] = e.rules.Version()
			for n := range 4 {
				id := fmt.Sprintf("u%d", n)
				u, ok := e.fleet.Find(id)
				switch {
				case !ok && known[i][id] > 0:
					removed[i][id] = known[i][id]
				case ok && (u.Sequence < known[i][id] || u.Sequence <= removed[i][id]):
					s.t.Fatalf("seed %d, entry %d: got registration %d of %s after %d, removed at %d", seed, i, u.Sequence, id, known[i][id], removed[i][id])
				case ok:
					known[i][id] = u.Sequence
				}
			}
		}
	}
	s.calm = true
	for len(s.lost) > 0 {
		s.writeAgain()
	}
	polls := 3
	if s.returns {
		polls++ // The first one may just show that the era has risen.
	}
	for range polls {
		for _, w := range s.watchers {
			if err := w.poll(time.Now()); err != nil {
				s.t.Fatalf("seed %d: got error %v on a calm store", seed, err)
			}
		}
	}
	for _, e := range s.entries {
		e.fleet.Expire(time.Now().Add(2 * lapsedTime))
	}
	s.check(seed)
	for _, f := range s.close {
		f()
	}
}

// lapsedTime is how long an entry keeps registrations that a store has lost.
const lapsedTime = 2 * time.Second

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
