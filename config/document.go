// Package config defines the configuration document: classes, partners, presets
// and services. It validates changes and decides which document is in force. It
// does no I/O.
package config

import "time"

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 7

// Document is the complete configuration. It is replaced as one by compare-and-swap.
type Document struct {
	// Generation increases by one with each accepted change.
	Generation uint64
	// Change is the unique id of the change that wrote the document.
	Change string
	Author string
	// Preset is the name of the preset in force.
	Preset   string
	Presets  []Preset
	Classes  []Class
	Partners []Partner
	Services []Service
	// Drains names the upstreams that receive no new requests.
	Drains []string
}

// Preset overrides shares and class limits while it is in force.
type Preset struct {
	Name   string
	Shares []Share
	Tunes  []ClassOverride
}

// Share is a partner's share of capacity under a preset.
type Share struct {
	Partner string
	Share   float64
}

// ClassOverride replaces the floor and cap of a class under a preset.
type ClassOverride struct {
	Class string
	Floor float64
	Cap   float64
}

// Class is a set of requests with one priority and one latency target.
type Class struct {
	Name string
	Tier int
	// Target is the latency target of the first token, or of a plain service's response.
	Target time.Duration
	// Pace is the latency target between two tokens.
	Pace time.Duration
	// Wait is the longest time a request stays queued before it is refused.
	Wait time.Duration
	// Objective is the fraction of requests that should meet the targets.
	Objective float64
	// Floor is the fraction of starts guaranteed while the class has queued requests.
	Floor float64
	// Cap is the largest fraction of an upstream's slots; 0 means all.
	Cap float64
	// Tokens is the output length assumed until the actual one is known.
	Tokens int
}

// Partner is a tenant. It has teams and a share of capacity.
type Partner struct {
	Name  string
	Share float64
	Teams []Team
}

// Team is a group of callers of one partner.
type Team struct {
	Name string
	// Class is used by requests that name no class.
	Class string
	// Classes are further classes that its callers may request.
	Classes []string
	// Keys are SHA-256 hashes of API keys, in hex.
	Keys []string
	// Limit bounds the requests in progress at one entry; 0 means no limit.
	Limit int
}

// Service is a group of plain upstreams.
type Service struct {
	Name string
	// Once lists the calls that must run at most once.
	Once []CallMatcher
}

// CallMatcher matches calls by method and path prefix.
type CallMatcher struct {
	Method string
	Path   string
}

// FindClass returns the class of that name.
func (d *Document) FindClass(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// FindService returns the service of that name.
func (d *Document) FindService(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// FindPreset returns the preset of that name.
func (d *Document) FindPreset(name string) (Preset, bool) {
	for _, p := range d.Presets {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// IsDrained reports whether the named upstream is being drained.
func (d *Document) IsDrained(upstream string) bool {
	for _, name := range d.Drains {
		if name == upstream {
			return true
		}
	}
	return false
}

// Effective returns the document with the overrides of its preset applied.
func (d *Document) Effective() *Document {
	out := *d
	out.Classes = append([]Class(nil), d.Classes...)
	out.Partners = append([]Partner(nil), d.Partners...)
	preset, ok := d.FindPreset(d.Preset)
	if !ok {
		return &out
	}
	for _, s := range preset.Shares {
		for i := range out.Partners {
			if out.Partners[i].Name == s.Partner {
				out.Partners[i].Share = s.Share
			}
		}
	}
	for _, t := range preset.Tunes {
		for i := range out.Classes {
			if out.Classes[i].Name == t.Class {
				out.Classes[i].Floor = t.Floor
				out.Classes[i].Cap = t.Cap
			}
		}
	}
	return &out
}

// IsOnce reports whether a call must run at most once.
func (s *Service) IsOnce(method, path string) bool {
	for _, r := range s.Once {
		if r.Method == method && len(path) >= len(r.Path) && path[:len(r.Path)] == r.Path {
			return true
		}
	}
	return false
}
