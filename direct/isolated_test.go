package direct

import (
	"io"
	"testing"
	"time"

	"cactustide/member"
	"cactustide/meter"
	"cactustide/quota"
	"cactustide/setup"
)

// TestIsolatedTurns guards against entries that each hand out the whole rate of an upstream, as none of
// their seeds has ever answered and they count as alone (LIMIT).
func TestIsolatedTurns(t *testing.T) {
	seeds := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	tests := map[string]struct {
		seeds []string
		met   bool
		after time.Duration
		want  int
	}{
		"just started":                    {seeds: seeds, want: 4},
		"started two minutes ago":         {seeds: seeds, after: 2 * time.Minute, want: 4},
		"started an hour ago":             {seeds: seeds, after: time.Hour, want: 4},
		"no seeds":                        {after: time.Hour, want: 1},
		"met another entry, just started": {seeds: seeds, met: true, want: 4},
		"met another entry long ago":      {seeds: seeds, met: true, after: time.Hour, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := meter.New("test")
			t.Cleanup(m.Close)
			e := New(&setup.DirectSettings{Name: "test", Peer: "10.0.0.1:1", Seeds: test.seeds, MemoryBytes: 1 << 30, MaxSockets: 100},
				HeaderCodec{}, ItemCodec{}, nil, meter.NewLogger(io.Discard, "error", "json", "direct"), m)
			if test.met {
				e.gossiper.Members().Hear(e.createdAt, member.Record{Address: seeds[0], Process: 7, Beat: 1})
			}
			now := e.createdAt.Add(test.after)
			fleet := e.quotaFleet(now)
			if fleet.Known != test.want {
				t.Fatalf("got %d entries that may hand out turns, want %d", fleet.Known, test.want)
			}
			// Beside it, each of the others hands out as much.
			const rate = 40.0
			limit, _ := e.quota.Observe(now, now, quota.Key{Upstream: "u", StartedAt: 1}, rate, true)
			got, begin := 0, now.Add(5*time.Second)
			for at := begin; at.Before(begin.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
				got += e.quota.Grant(at, quota.Ask{From: "10.0.0.1:1", Limit: limit, Count: 10, Within: 100 * time.Millisecond}, e.quotaFleet(at)).Count
			}
			if most := int(rate*10)/test.want + int(rate*0.2); test.after != 0 && got > most {
				t.Errorf("got %d turns in 10 s, want at most %d", got, most)
			}
		})
	}
}
