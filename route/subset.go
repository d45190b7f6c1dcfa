package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size agents that an entry keeps connections to, in name order:
// those with the highest rendezvous hash scores for the entry's name. One agent that
// joins or leaves changes at most one member of the subset, and entries are spread
// evenly over the agents.
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
