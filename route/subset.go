package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size agents that an entry keeps connections to: the ones
// with the highest rendezvous scores for the entry's name. It changes by one
// agent when one agent joins or leaves, and spreads entries evenly.
func Subset(entry string, agents []string, size int) []string {
	out := slices.Clone(agents)
	if len(out) <= size {
		slices.Sort(out)
		return out
	}
	key := xxhash.Sum64String(entry)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous(key, b), rendezvous(key, a)), cmp.Compare(a, b))
	})
	out = out[:size]
	slices.Sort(out)
	return out
}
