package direct

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactustide/fresh"
	"cactustide/meter"
	"cactustide/rules"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

// TestAgePassedOn guards against a refusal of an added route (404) by an entry whose copy seems younger
// than it is, because each peer that passed its age on made it younger (CONFIG, DENIED).
func TestAgePassedOn(t *testing.T) {
	tests := map[string]struct {
		hops int
		// step is the time from one hop to the next.
		step time.Duration
	}{
		"one hop":      {hops: 1, step: 999 * time.Microsecond},
		"whole steps":  {hops: 20, step: 50 * time.Millisecond},
		"broken steps": {hops: 20, step: 50*time.Millisecond + 900*time.Microsecond},
		"many hops":    {hops: 100, step: 9*time.Millisecond + 700*time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			confirmed := now
			last := newItemCache()
			last.confirm(confirmed)
			for range test.hops {
				now = now.Add(test.step)
				next := newItemCache()
				next.confirm(confirmedByPeer(now, reportedAge(last, now)))
				last = next
			}
			got, _ := last.confirmedAge(now)
			if want, most := now.Sub(confirmed), now.Sub(confirmed)+time.Duration(test.hops)*time.Millisecond; got < want || got > most {
				t.Errorf("got an age of %v after %d hops, want from %v to %v", got, test.hops, want, most)
			}
		})
	}
}

// TestAgeOfLateMessage guards against a refusal of an added route (404) by an entry that takes the
// copy of a peer for younger than it is, because the peer's message was on its way (CONFIG, DENIED).
func TestAgeOfLateMessage(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		apply := limit
		if apply == 0 {
			apply = fresh.DefaultApplyTimeout
		}
		for _, way := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, apply / 11} {
			t.Run(fmt.Sprint(limit, " ", way), func(t *testing.T) {
				m := meter.New("test")
				defer m.Close()
				codec := ItemCodec{Prefixes: []string{"op/"}, Decode: decodeFake}
				e := New(&setup.DirectSettings{Name: "test", ApplyTimeout: limit}, HeaderCodec{}, codec, nil, meter.NewLogger(discard{}, "error", "json", "direct"), m)
				said := time.Now()
				e.comparePosition(said.Add(way), 0, &wire.Position{Digest: emptyDigest, Age: 1}, 1, true)
				if !e.isConfigConfirmed(said.Add(apply * 3 / 4)) {
					t.Errorf("got the copy not confirmed %v after the store had nothing newer, want it confirmed", apply*3/4)
				}
				if e.isConfigConfirmed(said.Add(apply + time.Microsecond)) {
					t.Errorf("got the copy confirmed %v after the store had nothing newer, want it not confirmed", apply)
				}
			})
		}
	}
}

// TestConfirmedWhileApplied guards against a refusal of an added route (404) by an entry whose copy
// of the store has the new configuration and counts as confirmed before the configuration is in
// force (CONFIG, DENIED).
func TestConfirmedWhileApplied(t *testing.T) {
	m := meter.New("test")
	defer m.Close()
	decoding, decoded := make(chan struct{}), make(chan struct{})
	codec := ItemCodec{Prefixes: []string{"op/"}, Decode: func(store.Item) (Change, error) {
		close(decoding)
		<-decoded
		return Change{}, nil
	}}
	e := New(&setup.DirectSettings{Name: "test"}, HeaderCodec{}, codec, nil, meter.NewLogger(discard{}, "error", "json", "direct"), m)
	now := time.Now()
	at := store.Position{Revision: 2}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		e.applyChanges(now, 0, sourceWatch, store.Changes{Items: []store.Item{{Key: "op/config", Position: at}}, Position: at})
	}()
	<-decoding
	_, digest := e.itemCaches[0].state()
	said := &wire.Position{Revision: 2, Digest: digest, Age: 1}
	e.comparePosition(now, 0, said, 1, true)
	if e.isConfigConfirmed(now) {
		t.Error("got the copy confirmed before the configuration was decoded, want it not confirmed")
	}
	close(decoded)
	<-applied
	e.comparePosition(now, 0, said, 1, true)
	if !e.isConfigConfirmed(now) {
		t.Error("got the copy not confirmed once the configuration is in force, want it confirmed")
	}
}

// TestRefusalBesideNewVersion guards against a refusal of an added route (404) by the configuration
// that was in force when the request was looked up, confirmed by one that came since (CONFIG, DENIED).
func TestRefusalBesideNewVersion(t *testing.T) {
	m := meter.New("test")
	defer m.Close()
	e := New(&setup.DirectSettings{Name: "test"}, HeaderCodec{}, ItemCodec{Prefixes: []string{"op/"}}, nil, meter.NewLogger(discard{}, "error", "json", "direct"), m)
	now := time.Now()
	e.rules.Adopt(&rules.Document{Version: 1})
	e.itemCaches[configPrefix].confirm(now)
	if got, _ := e.refuseUnknown(now, 1, http.StatusNotFound, reasonNoRoute); got != http.StatusNotFound {
		t.Errorf("got %d by the version in force, want 404", got)
	}
	e.rules.Adopt(&rules.Document{Version: 2})
	if got, _ := e.refuseUnknown(now, 1, http.StatusNotFound, reasonNoRoute); got != http.StatusServiceUnavailable {
		t.Errorf("got %d by the version before the one in force, want 503", got)
	}
}
