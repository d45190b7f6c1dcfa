package config

import (
	"fmt"
	"time"
)

// MaxFloorDensity bounds the sum of 1/Period over the floors. Above one half, the
// scheduler could not meet every floor in every window.
const MaxFloorDensity = 0.5

// MaxQueueTime is the longest queue time a class may have.
const MaxQueueTime = 24 * time.Hour

const sha256HexLength = 64 // Hexadecimal digits of a SHA-256 hash.

// Violation is a violated constraint of a document: the key, and the values that
// are allowed there.
type Violation struct {
	Key     string
	Message string
}

// String returns the key and the message.
func (v Violation) String() string {
	return v.Key + ": " + v.Message
}

type checker struct {
	violations []Violation
}

func (c *checker) add(key, format string, args ...any) {
	c.violations = append(c.violations, Violation{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(seen map[string]bool, key, name string) {
	if name == "" {
		c.add(key+".name", "must not be empty")
		return
	}
	if seen[name] {
		c.add(key+".name", "duplicate name %q; names must be unique", name)
	}
	seen[name] = true
}

func (c *checker) checkFraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.add(key, "%v is not allowed; from 0 to 1", v)
	}
}

// Check returns every violation in the document, nil if there is none, classes
// first, then partners, presets and services.
func Check(d *Document) []Violation {
	c := &checker{}
	classes := c.checkClasses(d)
	partners := c.checkPartners(d, classes)
	c.checkPresets(d, classes, partners)
	c.checkServices(d)
	return c.violations
}

func (c *checker) checkClasses(d *Document) map[string]bool {
	seen := map[string]bool{}
	floors := 0.0
	if len(d.Classes) == 0 {
		c.add("classes", "must contain at least one class")
	}
	for i, cl := range d.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.checkName(seen, key, cl.Name)
		if cl.Tier < 0 || cl.Tier >= Tiers {
			c.add(key+".tier", "%d is not allowed; from 0 to %d", cl.Tier, Tiers-1)
		}
		if cl.Target <= 0 {
			c.add(key+".target", "must be a duration above zero, such as 850ms")
		}
		if cl.Pace < 0 {
			c.add(key+".pace", "must be a duration of zero or more, such as 30ms")
		}
		if cl.Wait <= 0 || cl.Wait > MaxQueueTime {
			c.add(key+".wait", "must be above zero and at most %v", MaxQueueTime)
		}
		if !(cl.Objective > 0 && cl.Objective < 1) {
			c.add(key+".objective", "%v is not allowed; above 0 and below 1, such as 0.95", cl.Objective)
		}
		c.checkFraction(key+".floor", cl.Floor)
		c.checkFraction(key+".cap", cl.Cap)
		if cl.Tokens < 0 {
			c.add(key+".tokens", "must be zero or more")
		}
		floors += density(min(1, cl.Floor))
	}
	if floors > MaxFloorDensity+roundingSlack {
		c.add("classes", "the floors, each rounded up to 1/n for a whole n, sum to %.3f; must be at most %v", floors, MaxFloorDensity)
	}
	return seen
}

func (c *checker) checkPartners(d *Document, classes map[string]bool) map[string]bool {
	seen := map[string]bool{}
	keyPaths := map[string]string{}
	for i, p := range d.Partners {
		key := fmt.Sprintf("partners[%d]", i)
		c.checkName(seen, key, p.Name)
		if !(p.Share > 0) {
			c.add(key+".share", "must be above zero")
		}
		teams := map[string]bool{}
		for j, t := range p.Teams {
			tkey := fmt.Sprintf("%s.teams[%d]", key, j)
			c.checkName(teams, tkey, t.Name)
			c.checkTeam(tkey, t, classes, keyPaths)
		}
	}
	return seen
}

func (c *checker) checkTeam(key string, t Team, classes map[string]bool, keyPaths map[string]string) {
	if !classes[t.Class] {
		c.add(key+".class", "%q is not a class of this document", t.Class)
	}
	for i, name := range t.Classes {
		if !classes[name] {
			c.add(fmt.Sprintf("%s.classes[%d]", key, i), "%q is not a class of this document", name)
		}
	}
	if t.Limit < 0 {
		c.add(key+".limit", "must be zero or more")
	}
	for i, hash := range t.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", key, i)
		if !isSHA256Hex(hash) {
			c.add(keyPath, "must be a SHA-256 hash, %d lower-case hex digits", sha256HexLength)
			continue
		}
		if other, ok := keyPaths[hash]; ok {
			c.add(keyPath, "duplicate of the key at %s", other)
		}
		keyPaths[hash] = keyPath
	}
}

func (c *checker) checkPresets(d *Document, classes, partners map[string]bool) {
	seen := map[string]bool{}
	classFloors := map[string]float64{}
	for _, cl := range d.Classes {
		classFloors[cl.Name] = cl.Floor
	}
	for i, p := range d.Presets {
		key := fmt.Sprintf("presets[%d]", i)
		c.checkName(seen, key, p.Name)
		for j, s := range p.Shares {
			skey := fmt.Sprintf("%s.shares[%d]", key, j)
			if !partners[s.Partner] {
				c.add(skey+".partner", "%q is not a partner of this document", s.Partner)
			}
			if !(s.Share > 0) {
				c.add(skey+".share", "must be above zero")
			}
		}
		c.checkOverrides(key, p, classes, classFloors)
	}
	if !seen[d.Preset] {
		c.add("preset", "%q is not a preset of this document", d.Preset)
	}
}

func (c *checker) checkOverrides(key string, p Preset, classes map[string]bool, classFloors map[string]float64) {
	floors := map[string]float64{}
	for name, f := range classFloors {
		floors[name] = f
	}
	for j, t := range p.Tunes {
		tkey := fmt.Sprintf("%s.tunes[%d]", key, j)
		if !classes[t.Class] {
			c.add(tkey+".class", "%q is not a class of this document", t.Class)
		}
		c.checkFraction(tkey+".floor", t.Floor)
		c.checkFraction(tkey+".cap", t.Cap)
		floors[t.Class] = t.Floor
	}
	total := 0.0
	for _, f := range floors {
		total += density(min(1, f))
	}
	if total > MaxFloorDensity+roundingSlack {
		c.add(key+".tunes", "the floors under this preset, each rounded up to 1/n for a whole n, sum to %.3f; must be at most %v", total, MaxFloorDensity)
	}
}

func (c *checker) checkServices(d *Document) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.checkName(seen, key, s.Name)
		for j, r := range s.Once {
			rkey := fmt.Sprintf("%s.once[%d]", key, j)
			if r.Method == "" {
				c.add(rkey+".method", "must not be empty")
			}
			if r.Path == "" || r.Path[0] != '/' {
				c.add(rkey+".path", "must start with /")
			}
		}
	}
}

// roundingSlack compensates for the rounding error of 1/floor, such as 1/0.1.
const roundingSlack = 1e-9

// Period returns the longest distance between two starts of a class with the
// given floor, in starts: 1/floor rounded down. 0 means that there is no floor.
func Period(floor float64) int {
	if floor <= 0 {
		return 0
	}
	return int(1/floor + roundingSlack)
}

// density returns the fraction of all starts that a floor reserves.
func density(floor float64) float64 {
	period := Period(floor)
	if period == 0 {
		return 0
	}
	return 1 / float64(period)
}

func isSHA256Hex(s string) bool {
	if len(s) != sha256HexLength {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}
