package direct_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// heapBytes returns the bytes of live objects, of the entry and its callers and stand-ins.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // What the first one finalized.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBodyMemory measures the memory of an entry and its callers for bodies of which
// 256 KB have arrived.
func BenchmarkBodyMemory(b *testing.B) {
	const size = 256 << 10
	for _, bodies := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(bodies), func(b *testing.B) {
			s := newStackOf(b, stackOptions{entries: 1, memoryBytes: 4 << 30, maxSockets: 4000})
			s.addSlowRoute()
			for b.Loop() {
				before := heapBytes()
				conns := make([]net.Conn, 0, bodies)
				for i := range bodies {
					c, err := net.Dial("tcp", s.entries[0].settings.Listen)
					if err != nil {
						b.Fatal(err)
					}
					conns = append(conns, c)
					if _, err := fmt.Fprintf(c, "POST /slow/a HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCactustide-Request-Id: b%d\r\nCactustide-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", testHost, testKey, i, size); err != nil {
						b.Fatal(err)
					}
					if _, err := io.WriteString(c, strings.Repeat("x", size)); err != nil {
						b.Fatal(err)
					}
				}
				waitFor(b, "the bodies", func() bool {
					used, _ := s.memory(s.entries[0], "bodies")
					return used >= int64(bodies)*size
				})
				used, _ := s.memory(s.entries[0], "bodies")
				b.ReportMetric(float64(heapBytes()-before)/float64(bodies), "heap-B/body")
				b.ReportMetric(float64(used)/float64(bodies), "counted-B/body")
				for _, c := range conns {
					_ = c.Close() // The requests are given up.
				}
				waitFor(b, "the end of the bodies", func() bool { used, _ := s.memory(s.entries[0], "bodies"); return used == 0 })
			}
		})
	}
}

// BenchmarkConfigMemory measures the memory of an entry, and of the stand-in store beside it,
// after versions of a configuration of about 1 MB.
func BenchmarkConfigMemory(b *testing.B) {
	for _, versions := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(versions), func(b *testing.B) {
			for b.Loop() {
				s := newStackOf(b, stackOptions{entries: 1})
				before := heapBytes()
				for i := range versions {
					s.store.Compact() // The stand-in keeps no history either.
					version := uint64(2 + i)
					s.store.Put("op/config", stand.EncodeConfig(version, testRoutes, []string{"desk", strings.Repeat("x", 1_000_000)}, map[string][]string{"team-one": {testKey}}))
					waitFor(b, "the version", func() bool { return s.hasVersion(s.entries[0], version) })
					time.Sleep(10 * time.Millisecond)
				}
				history, _ := s.memory(s.entries[0], "history")
				b.ReportMetric(float64(heapBytes()-before), "heap-B")
				b.ReportMetric(float64(history), "history-B")
			}
		})
	}
}
