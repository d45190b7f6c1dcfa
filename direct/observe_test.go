package direct

import (
	"slices"
	"testing"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/setup"
	"cactustide/store"
)

// TestObservedReleases guards against a release that counts as never in service because its
// registration was replaced or removed before the entry looked at it (ORDER).
func TestObservedReleases(t *testing.T) {
	registered := func(key, release string, revision uint64) store.Item {
		return store.Item{Key: key, Value: []byte(release), Position: at(revision)}
	}
	watched := func(e *Entry, now time.Time, position uint64, items ...store.Item) {
		e.applyChanges(now, 0, sourceWatch, store.Changes{Items: items, Position: at(position)})
	}
	const after = time.Hour // Longer than any stream lasts.
	tests := map[string]struct {
		play func(e *Entry, now time.Time)
		want []string
	}{
		"registered": {play: func(e *Entry, now time.Time) { watched(e, now, 11, registered("b", "v2", 11)) }, want: []string{"v2"}},
		"replaced in one answer": {play: func(e *Entry, now time.Time) {
			watched(e, now, 12, registered("b", "v2", 11), registered("b", "v3", 12))
		}, want: []string{"v2", "v3"}},
		"came and left in one answer": {play: func(e *Entry, now time.Time) {
			watched(e, now, 12, registered("b", "v2", 11), deletedAt("b", 12))
		}, want: []string{"v2"}},
		"came and left, and a peer's copy was further": {play: func(e *Entry, now time.Time) {
			e.replaceItems(now, 0, sourcePeer, []store.Item{registered("a", "v1", 5)}, at(20))
			watched(e, now, 20, registered("b", "v2", 11), deletedAt("b", 12))
		}, want: []string{"v2"}},
		"started again, as is known from a peer": {play: func(e *Entry, now time.Time) {
			e.replaceItems(now, 0, sourcePeer, []store.Item{registered("a", "v3", 13)}, at(20))
			watched(e, now, 20, registered("a", "v2", 11), registered("a", "v3", 13))
		}, want: []string{"v1", "v2", "v3"}},
		"left after the entry stood still": {play: func(e *Entry, now time.Time) { watched(e, now, 11, deletedAt("a", 11)) }, want: []string{"v1"}},
		"replaced after the entry stood still": {play: func(e *Entry, now time.Time) {
			watched(e, now, 11, registered("a", "v2", 11))
		}, want: []string{"v1", "v2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			codec := ItemCodec{Prefixes: []string{"servers/"}, Decode: func(item store.Item) (Change, error) {
				if item.Deleted {
					return Change{Removed: item.Key}, nil
				}
				return Change{Upstream: &fleet.Upstream{ID: item.Key, Service: "s", Release: string(item.Value), Position: item.Position}}, nil
			}}
			m := meter.New("test")
			defer m.Close()
			e := New(&setup.DirectSettings{Name: "test"}, HeaderCodec{}, codec, nil, meter.NewLogger(discard{}, "error", "json", "direct"), m)
			start := time.Now()
			e.replaceItems(start, 0, sourceList, []store.Item{registered("a", "v1", 5)}, at(10))
			test.play(e, start.Add(after))
			if got, _ := e.origins.releases.Within(start.Add(after), "s", time.Second); !slices.Equal(got, test.want) {
				t.Errorf("got releases %q, want %q", got, test.want)
			}
		})
	}
}
