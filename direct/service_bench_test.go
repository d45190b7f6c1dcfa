package direct

import (
	"fmt"
	"testing"

	"cactustide/rules"
)

// BenchmarkLastCheck measures the check of an upstream's service right before a request is written,
// without and with a change of the configuration since the request came, beside the choice.
func BenchmarkLastCheck(b *testing.B) {
	for _, upstreams := range []int{12, 10000} {
		w := newServiceWalk(b, 1, 1, upstreams)
		document := rules.Document{Version: 2, Routes: []rules.Route{{Name: "r", Host: "h", Prefix: "/", Split: []rules.WeightedService{{Service: "s0", Weight: 1}}}}}
		w.entry.rules.Adopt(&document)
		for name, version := range map[string]uint64{"same version": 2, "version since": 1} {
			q := w.request("s0")
			q.version, q.host, q.target = version, "h", "/a"
			to, ok := w.entry.fleet.Find("u0")
			if !ok {
				b.Fatal("got no upstream, want u0")
			}
			b.Run(fmt.Sprintf("check, %s, %d upstreams", name, upstreams), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if reason := w.entry.findMisrouting(q, to); reason != "" {
						b.Fatalf("got %q, want none", reason)
					}
				}
			})
		}
		q := w.request("s0")
		b.Run(fmt.Sprintf("choice, %d upstreams", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := w.entry.choose(w.now, q, &forwardState{}); !ok {
					b.Fatal("got no choice, want one")
				}
			}
		})
	}
}
