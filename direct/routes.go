package direct

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cactustide/rules"
)

const (
	// maxFormerVersions and maxFormerRoutes bound what is kept of versions that are no longer in
	// force.
	maxFormerVersions = 64
	maxFormerRoutes   = 16384
)

// streamRoute is a route whose streams may be resumed, as a version of the configuration has it.
type streamRoute struct {
	prefix   string
	timeout  time.Duration
	services []string
}

// streamRoutes are the routes of a version whose streams may be resumed, by host, the longest prefixes
// first.
type streamRoutes struct {
	hosts map[string][]streamRoute
	count int
	// replacedAt is when another version came into force; zero while this one is.
	replacedAt time.Time
}

func newStreamRoutes(d *rules.Document) *streamRoutes {
	s := &streamRoutes{hosts: map[string][]streamRoute{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		if !r.Resumable {
			continue
		}
		route := streamRoute{prefix: r.Prefix, timeout: r.Timeout}
		for _, w := range r.Split {
			if w.Weight > 0 {
				route.services = append(route.services, w.Service)
			}
		}
		slices.Sort(route.services)
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], route)
		s.count++
	}
	for _, list := range s.hosts {
		slices.SortFunc(list, func(a, b streamRoute) int {
			return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), cmp.Compare(a.prefix, b.prefix))
		})
	}
	return s
}

func (s *streamRoutes) equal(other *streamRoutes) bool {
	return maps.EqualFunc(s.hosts, other.hosts, func(a, b []streamRoute) bool {
		return slices.EqualFunc(a, b, func(x, y streamRoute) bool {
			return x.prefix == y.prefix && x.timeout == y.timeout && slices.Equal(x.services, y.services)
		})
	})
}

// find returns the route of a path.
func (s *streamRoutes) find(host, path string) (streamRoute, bool) {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return streamRoute{}, false
}

// routeHistory holds the routes on which streams may have begun that have not ended.
type routeHistory struct {
	mu      sync.Mutex
	current *streamRoutes
	former  []*streamRoutes
	// lostAt is when a former version was last dropped that may have begun such streams, and
	// lostFor the longest time for which it may have.
	lostAt  time.Time
	lostFor time.Duration
}

// adopt records the routes of a version that comes into force. Other entries may use the one before for
// as long as a change may take.
func (h *routeHistory) adopt(now time.Time, d *rules.Document, applyTime time.Duration) {
	next := newStreamRoutes(d)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || h.current.equal(next) {
		h.current = next
		return
	}
	h.current.replacedAt = now.Add(applyTime)
	h.former = append(h.former, h.current)
	h.current = next
	count := 0
	for i, s := range slices.Backward(h.former) {
		if count += s.count; len(h.former)-i <= maxFormerVersions && count <= maxFormerRoutes {
			continue
		}
		for _, dropped := range h.former[:i+1] {
			h.lostAt = dropped.replacedAt
			for _, list := range dropped.hosts {
				for _, r := range list {
					h.lostFor = max(h.lostFor, streamTimeouts*r.timeout)
				}
			}
		}
		h.former = slices.Clone(h.former[i+1:])
		break
	}
}

// begun returns the services to which the path of a stream may have led as it began, and the time within
// which it must have begun; false if that is not known.
func (h *routeHistory) begun(now time.Time, host, path string) (services []string, window time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lostAt.IsZero() && now.Sub(h.lostAt) <= h.lostFor {
		return nil, 0, false
	}
	host = rules.HostName(host)
	for _, s := range append(slices.Clone(h.former), h.current) {
		if s == nil {
			continue
		}
		r, found := s.find(host, path)
		if !found || !s.replacedAt.IsZero() && now.Sub(s.replacedAt) > streamTimeouts*r.timeout {
			continue
		}
		services = append(services, r.services...)
		window = max(window, streamTimeouts*r.timeout)
	}
	return services, window, true
}
