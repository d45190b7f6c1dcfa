package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactustide/fleet"
)

// newLoadedBalancer returns a balancer with a number of upstreams, each with ten runs of
// three kinds of request, and the candidates.
func newLoadedBalancer(upstreams int) (*Balancer, []fleet.Candidate) {
	random := rand.New(rand.NewPCG(1, 2))
	b := New(Settings{})
	var list []fleet.Candidate
	key := uint64(0)
	for i := range upstreams {
		u := fleet.Upstream{ID: fmt.Sprintf("i-%06x", i), Service: "s", Centre: "c", Slots: 24}
		list = append(list, fleet.Candidate{Upstream: u})
		for range 10 {
			key++
			b.StartRemote(now, key, u, loadedRequest(random))
		}
	}
	return b, list
}

// loadedRequest returns a request of one of three kinds, with two shared segments.
func loadedRequest(random *rand.Rand) *Request {
	kind := random.IntN(3)
	segments := AppendSegment(nil, "", fmt.Sprint("a", random.IntN(8)), 2000)
	segments = AppendSegment(segments, "", fmt.Sprint("b", random.IntN(200)), 2000*kind+500)
	return &Request{
		Segments: segments, PromptTokens: 3000 + 4000*kind, OutputTokens: 100, LatencyTarget: time.Duration(300*(1+kind)) * time.Millisecond,
		EventGapTarget: time.Duration(150+150*kind) * time.Millisecond, Timeout: 10 * time.Second, Tier: kind, RouteTier: kind,
		Centre: "c", Engine: true, KVCapacity: 497_316, TokensPerEvent: 4, ArrivedAt: now,
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 120, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, list := newLoadedBalancer(n)
			random := rand.New(rand.NewPCG(3, 4))
			at := now
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Microsecond)
				req := loadedRequest(random)
				req.ArrivedAt = at
				choice, ok := balancer.Choose(at, "s", list, req)
				if !ok {
					b.Fatal("got no choice, want one")
				}
				if choice.Upstream.ID == "" {
					b.Fatal("got no upstream, want one")
				}
			}
		})
	}
}

func BenchmarkChooseSampled(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, list := newLoadedBalancer(n)
			byID := map[string]fleet.Candidate{}
			var ids []string
			for _, c := range list {
				byID[c.ID] = c
				ids = append(ids, c.ID)
			}
			ring := fleet.NewRing(ids...)
			random := rand.New(rand.NewPCG(3, 4))
			at := now
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Microsecond)
				req := loadedRequest(random)
				req.ArrivedAt = at
				var candidates []fleet.Candidate
				for _, id := range balancer.Sample("s", ring, req, random.IntN) {
					candidates = append(candidates, byID[id])
				}
				if _, ok := balancer.ChooseSampled(at, "s", candidates, req); !ok {
					b.Fatal("got no choice, want one")
				}
			}
		})
	}
}

// TestSample checks the upstreams that are compared for a request to a large service: those
// with a part of its prompt, the same homes for all entries, and a bounded number.
func TestSample(t *testing.T) {
	b, list := newLoadedBalancer(500)
	var ids []string
	for _, c := range list {
		ids = append(ids, c.ID)
	}
	ring := fleet.NewRing(ids...)
	segments := AppendSegment(nil, "", "rare", 9000)
	holder := list[321].Upstream
	b.StartRemote(now, 1, holder, newRequest(segments, 500))
	b.FinishRemote(1)
	random := rand.New(rand.NewPCG(5, 6))
	common := map[string]int{}
	for range 20 {
		got := b.Sample("s", ring, newRequest(segments, 500), random.IntN)
		if len(got) > sampledHolders+sampledHomes+sampledRandom || got[0] != holder.ID {
			t.Fatalf("got %d upstreams, %s first, want at most %d, %s first", len(got), got[0], sampledHolders+sampledHomes+sampledRandom, holder.ID)
		}
		for _, id := range got {
			common[id]++
		}
	}
	always := 0
	for _, n := range common {
		if n == 20 {
			always++
		}
	}
	if always < 1+sampledHomes {
		t.Errorf("got %d upstreams in each sample, want the holder and the %d homes", always, sampledHomes)
	}
	restarted := holder
	restarted.StartedAt++
	b.Load(now, restarted)
	if got := b.Sample("s", ring, newRequest(segments, 500), random.IntN); got[0] == holder.ID {
		t.Error("got the upstream as a holder after its restart, want it forgotten")
	}
}

// TestHoldersBounded guards the index of cached segments: it keeps no upstreams that were
// removed, and a bounded number for each segment.
func TestHoldersBounded(t *testing.T) {
	b, list := newLoadedBalancer(100)
	for hash, holders := range b.holders {
		if len(holders) > maxHolders {
			t.Fatalf("got %d holders of segment %x, want at most %d", len(holders), hash, maxHolders)
		}
	}
	for _, c := range list {
		b.Forget(c.ID)
	}
	if got := len(b.holders); got != 0 {
		t.Errorf("got %d segments with holders after all upstreams left, want none", got)
	}
}
