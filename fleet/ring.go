package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is an upstream in the ring of a service.
type Node struct {
	// Hash of the id (64-bit xxHash).
	Hash uint64
	ID   string
}

// NewRing returns the nodes of ids in the order of their hashes.
func NewRing(ids ...string) []Node {
	ring := make([]Node, 0, len(ids))
	for _, id := range ids {
		ring = append(ring, Node{Hash: xxhash.Sum64String(id), ID: id})
	}
	slices.SortFunc(ring, compareNodes)
	return ring
}

func compareNodes(a, b Node) int { return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.ID, b.ID)) }

// Ring returns the upstreams of a service in the order of the hashes of their ids, whatever
// their state. The caller must not change it.
func (r *Registry) Ring(service string) []Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.rings[service]
}

// addNode and dropNode replace the ring of a service, since callers may still use the old
// one.
func (r *Registry) addNode(u Upstream) {
	ring := r.rings[u.Service]
	node := Node{Hash: xxhash.Sum64String(u.ID), ID: u.ID}
	i, found := slices.BinarySearchFunc(ring, node, compareNodes)
	if !found {
		r.rings[u.Service] = slices.Insert(slices.Clip(ring), i, node)
	}
}

func (r *Registry) dropNode(u Upstream) {
	ring := r.rings[u.Service]
	i, found := slices.BinarySearchFunc(ring, Node{Hash: xxhash.Sum64String(u.ID), ID: u.ID}, compareNodes)
	if !found {
		return
	}
	if len(ring) == 1 {
		delete(r.rings, u.Service)
		return
	}
	r.rings[u.Service] = slices.Concat(ring[:i], ring[i+1:])
}

// Pick returns those of the upstreams that belong to a service and accept new requests, in the
// order of the ids.
func (r *Registry) Pick(now time.Time, service string, ids []string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Candidate, 0, len(ids))
	for _, id := range ids {
		if m, ok := r.members[id]; ok && m.Service == service && r.accepts(now, m) {
			list = append(list, r.candidate(now, m))
		}
	}
	return list
}

// accepts reports whether an upstream accepts new requests as far as is known.
func (r *Registry) accepts(now time.Time, m *member) bool {
	return !m.Draining && (!m.lapsed || !r.lapseEnded(now, m)) && !r.isLeaving(m) && r.pausedUntil(now, m.Upstream).IsZero()
}
