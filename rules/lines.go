package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lines describes the configuration in sorted lines of text, one for each rule, for
// display and for comparing versions. API keys are replaced by hashes.
func (d *Document) Lines() []string {
	lines := []string{fmt.Sprintf("limits header=%d body=%d head=%v idle=%v", d.Limits.MaxHeaderBytes, d.Limits.MaxBodyBytes, d.Limits.HeaderTimeout, d.Limits.IdleTimeout)}
	for _, r := range d.Routes {
		lines = append(lines, r.line())
	}
	for _, s := range d.Services {
		line := fmt.Sprintf("service %s channels=%d", s.Name, s.MaxConns)
		if s.Engine != nil {
			line += fmt.Sprintf(" memory=%d stride=%d", s.Engine.KVCapacity, s.Engine.TokensPerEvent)
		}
		lines = append(lines, line)
	}
	for _, t := range d.Teams {
		line := "team " + t.Name
		if t.HasTier {
			line += " tier=" + strconv.Itoa(t.Tier)
		}
		lines = append(lines, line)
		for _, key := range t.Keys {
			lines = append(lines, fmt.Sprintf("key %s %016x", t.Name, xxhash.Sum64String(key)))
		}
	}
	if d.KeysRequired {
		lines = append(lines, "keys required")
	}
	slices.Sort(lines)
	return lines
}

func (r *Route) line() string {
	services := make([]string, 0, len(r.Split))
	for _, w := range r.Split {
		services = append(services, fmt.Sprintf("%s:%d", w.Service, w.Weight))
	}
	line := fmt.Sprintf("route %s %s%s %s to=%s timeout=%v target=%v pause=%v tier=%d tries=%d",
		r.Name, r.Host, r.Prefix, r.Kind, strings.Join(services, ","), r.Timeout, r.LatencyTarget, r.EventGapTarget, r.Tier, r.MaxAttempts)
	if r.Public {
		line += " open"
	}
	if r.Sticky {
		line += " prompted"
	}
	if r.Resumable {
		line += " resumable"
	}
	return line
}
