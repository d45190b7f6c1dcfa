package origin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ringPoints is the number of points of each member on a Ring, which evens out their parts.
const ringPoints = 16

// Ring chooses which members keep the origin of a stream, by consistent hashing: entries that know
// the same members choose the same ones, and a member that comes or goes changes one place at most.
// A choice takes a time that does not grow with the members.
type Ring struct {
	points []point
	size   int
}

type point struct {
	hash    uint64
	address string
}

// NewRing returns the ring of members with the given addresses.
func NewRing(addresses []string) *Ring {
	r := &Ring{points: make([]point, 0, ringPoints*len(addresses)), size: len(addresses)}
	for _, address := range addresses {
		for i := range ringPoints {
			r.points = append(r.points, point{hash: xxhash.Sum64String(strconv.Itoa(i) + " " + address), address: address})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address)) })
	return r
}

// Holders returns up to n members for a key.
func (r *Ring) Holders(key uint64, n int) []string {
	var chosen []string
	i, _ := slices.BinarySearchFunc(r.points, key, func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	for k := 0; k < len(r.points) && len(chosen) < min(n, r.size); k++ {
		if address := r.points[(i+k)%len(r.points)].address; !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}
