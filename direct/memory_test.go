package direct

import "testing"

// TestMemoryLimiter checks the bound on the memory of bodies: small ones may use all of it,
// large ones a share that grows with the part that has arrived.
func TestMemoryLimiter(t *testing.T) {
	const limit, large = 1000, 10 * smallBodyBytes
	tests := map[string]struct {
		used, n, have, total int64
		want                 bool
	}{
		"within the bound":          {used: 0, n: 1000, have: 0, total: 1000, want: true},
		"above it":                  {used: 0, n: 1001, have: 0, total: 1001},
		"the rest":                  {used: 600, n: 400, have: 0, total: 400, want: true},
		"more than the rest":        {used: 600, n: 401, have: 0, total: 401},
		"large, at its start":       {used: 400, n: 100, have: 0, total: large, want: true},
		"large, above the start":    {used: 600, n: 100, have: 0, total: large},
		"large, halfway":            {used: 600, n: 100, have: large/2 - 100, total: large, want: true},
		"large, halfway, too much":  {used: 700, n: 100, have: large/2 - 100, total: large},
		"large, nearly in":          {used: 890, n: 100, have: large - 100, total: large, want: true},
		"small beside large bodies": {used: 900, n: 100, have: 0, total: smallBodyBytes, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := memoryLimiter{limit: limit}
			l.used.Store(test.used)
			if got := l.reserve(test.n, test.have, test.total); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			want := test.used
			if test.want {
				want += test.n
			}
			if got := l.used.Load(); got != want {
				t.Errorf("got %d bytes in use, want %d", got, want)
			}
			l.release(want)
			if !l.reserve(limit, 0, limit) {
				t.Error("got no memory after all was released")
			}
		})
	}
}
