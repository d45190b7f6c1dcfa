package rules

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Owner is the team that an API key belongs to; zero means no team.
type Owner struct {
	Team    string
	Tier    int
	HasTier bool
}

// routeTiersPerTeamTier is the number of route tiers that stay distinct within a
// team's tier. Engines support ten priorities, and deployments use few team tiers and
// few route tiers.
const routeTiersPerTeamTier = 4

// Priority returns the priority of the owner's requests on a route; 0 is the highest.
// The team's tier goes first, and the route's orders the team's requests.
func (o Owner) Priority(r *Route) int {
	if !o.HasTier {
		return r.Tier
	}
	return routeTiersPerTeamTier*o.Tier + min(routeTiersPerTeamTier-1, r.Tier)
}

// Table is an immutable index of a document.
type Table struct {
	Document *Document
	hosts    map[string][]*Route
	keys     map[string]Owner
	services map[string]*Service
}

// NewTable indexes a document, which must not change afterwards.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d,
		hosts:    map[string][]*Route{},
		keys:     map[string]Owner{},
		services: map[string]*Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, team := range d.Teams {
		for _, key := range team.Keys {
			if key == "" {
				continue // A request without a key has no owner.
			}
			t.keys[key] = Owner{Team: team.Name, Tier: team.Tier, HasTier: team.HasTier}
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// HostName returns the name in a Host field in the form by which routes are found, without a port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// FindRoute returns the route of the host with the longest prefix of the path, or
// nil. A port in the host is ignored.
func (t *Table) FindRoute(host, path string) *Route {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// FindService returns the named service, or nil.
func (t *Table) FindService(name string) *Service { return t.services[name] }

// FindOwner returns the team that an API key belongs to, and false for an unknown
// key.
func (t *Table) FindOwner(key string) (Owner, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// NeedsKey reports whether the route's requests must carry an API key.
func (t *Table) NeedsKey(r *Route) bool {
	return (t.Document.KeysRequired || len(t.Document.Teams) > 0) && !r.Public
}

// PickService picks one of the route's services by weight; empty if the weights add
// up to 0. The same id always gets the same service.
func (r *Route) PickService(id string) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, w := range r.Split {
		if point < w.Weight {
			return w.Service
		}
		point -= w.Weight
	}
	return ""
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}

// AllowsRetry reports whether a request of the route may run more than once, as long
// as its caller has received nothing of the response.
func (r *Route) AllowsRetry() bool { return r.Kind == KindIdempotent || r.Resumable }

// Holder holds the table in force. Its version never decreases.
type Holder struct {
	table atomic.Pointer[Table]
}

// Get returns the table in force, or nil before the first document.
func (h *Holder) Get() *Table { return h.table.Load() }

// Version returns the version in force; 0 means none.
func (h *Holder) Version() uint64 {
	if t := h.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// Adopt puts a document in force if its version is higher than the one in force,
// and reports whether it did. Version 0 is never adopted.
func (h *Holder) Adopt(d *Document) bool {
	if d.Version == 0 {
		return false
	}
	next := NewTable(d)
	for {
		old := h.table.Load()
		if old != nil && old.Document.Version >= d.Version {
			return false
		}
		if h.table.CompareAndSwap(old, next) {
			return true
		}
	}
}
