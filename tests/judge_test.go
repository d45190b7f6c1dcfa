package tests

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	// applyTime is the time within which a version is in force, regressTime the time after which
	// a version whose effect was seen may not be left again.
	applyTime   = 2 * time.Second
	regressTime = 250 * time.Millisecond
	// skewTime is added to applyTime while the store is not stable but answers.
	skewTime = 5 * time.Second
	// contactTime is the time after a fault in which bounds of time do not hold.
	contactTime = 3 * time.Second
	// flushTime is the time for which the last lines before SIGKILL may be lost.
	flushTime = time.Second
)

// theCore is the store in place of the number of an entry.
const theCore = -1

// unconfirmedBody is the body of a 503 from an entry whose copy was not confirmed in time.
const unconfirmedBody = "the configuration may be out of date"

// drillVersion is a version of the configuration that the operator wrote.
type drillVersion struct {
	number uint64
	// ackedAt is zero until the store has acknowledged it, and later if it was lost and written
	// again.
	sentAt, ackedAt time.Time
	// routes are the services by prefix.
	routes map[string]string
	keys   map[string]bool
}

// addedRoute returns the prefix of the route that the version adds, which stays.
func (v drillVersion) addedRoute() string {
	if v.number == 1 {
		return "/base/"
	}
	return fmt.Sprintf("/v%d/", v.number)
}

// replacedRoute and replacedKey are in no other version.
func (v drillVersion) replacedRoute() string { return fmt.Sprintf("/only-%d/", v.number) }

func (v drillVersion) replacedKey() string { return fmt.Sprint("key-", v.number) }

// allows reports whether the version allows the outcome of a probe.
func (v drillVersion) allows(p drillProbe) bool {
	switch p.status {
	case http.StatusOK:
		return v.serves(p) && v.routes[p.prefix] == p.service
	case http.StatusNotFound:
		return v.routes[p.prefix] == ""
	case http.StatusUnauthorized, http.StatusForbidden:
		return !v.keys[p.key]
	}
	return true
}

// serves reports whether the version has the route and the key of a probe.
func (v drillVersion) serves(p drillProbe) bool { return v.routes[p.prefix] != "" && v.keys[p.key] }

// drillFault is a time in which an entry or the store had a fault.
type drillFault struct {
	from, to time.Time
	entry    int
	// down is set if the store was down or lost something, killed if the entry's last lines may
	// be lost.
	down, killed bool
}

func (f drillFault) overlaps(from, to time.Time) bool {
	return f.from.Before(to) && (f.to.IsZero() || from.Before(f.to))
}

type processStart struct {
	entry int
	at    time.Time
}

// drillProbe is a request of a caller. Status 0 means no response.
type drillProbe struct {
	id              string
	entry           int
	kind            string
	prefix, key     string
	sentAt, endedAt time.Time
	status          int
	body            string
	// service is the one whose upstream signed the response.
	service string
}

// String formats the probe for messages.
func (p drillProbe) String() string {
	return fmt.Sprintf("%s %s entry-%d %s, GET %s with %s, sent %s, status %d %.60q by %q", p.id, p.kind, p.entry, p.endedAt.Sub(p.sentAt).Round(time.Millisecond), p.prefix, p.key,
		p.sentAt.UTC().Format("15:04:05.000"), p.status, p.body, p.service)
}

// isDenial reports whether the entry said that the request is not allowed.
func (p drillProbe) isDenial() bool {
	return p.status == http.StatusNotFound || p.status == http.StatusUnauthorized || p.status == http.StatusForbidden
}

// isRefusal reports whether the status rests on the configuration.
func (p drillProbe) isRefusal() bool {
	return p.isDenial() || p.status == http.StatusServiceUnavailable && p.body == unconfirmedBody
}

// drillHistory is what happened in a drill.
type drillHistory struct {
	// versions in the order in which they were written.
	versions []drillVersion
	faults   []drillFault
	starts   []processStart
	probes   []drillProbe
}

// brokenRule is a probe whose outcome only versions older than want allow.
type brokenRule struct {
	rule  string
	probe drillProbe
	want  uint64
}

// Rules of the judgement.
const (
	ruleLate    = "CONFIG"
	ruleRegress = "CONFIG (regress)"
	ruleDenied  = "DENIED"
)

// judge returns the probes that break a rule.
func (h drillHistory) judge() (broken []brokenRule) {
	floors := h.floors()
	for i, p := range h.probes {
		sent := 0 // The number of versions that were sent by the end of the probe.
		for sent < len(h.versions) && h.versions[sent].sentAt.Before(p.endedAt) {
			sent++
		}
		due, judged := h.due(p)
		anyAllows := func(from int) bool {
			for _, v := range h.versions[from:sent] {
				if v.allows(p) {
					return true
				}
			}
			return false
		}
		switch {
		case judged && !anyAllows(due):
			broken = append(broken, brokenRule{rule: ruleLate, probe: p, want: h.versions[due].number})
		case !anyAllows(floors[i]):
			broken = append(broken, brokenRule{rule: ruleRegress, probe: p, want: h.versions[floors[i]].number})
		}
		if !judged {
			due = 0
		}
		if p.isDenial() && h.allServe(p, due, sent) {
			broken = append(broken, brokenRule{rule: ruleDenied, probe: p, want: h.versions[due].number})
		}
	}
	return broken
}

// allServe reports whether each of some versions has the route and the key of a probe.
func (h drillHistory) allServe(p drillProbe, from, to int) bool {
	for _, v := range h.versions[from:to] {
		if !v.serves(p) {
			return false
		}
	}
	return true
}

// due returns the index of the newest version that must be in force for a probe; judged is false
// if the entry or the store had a fault, so that no bound of time holds.
func (h drillHistory) due(p drillProbe) (due int, judged bool) {
	stable := true
	for _, f := range h.faults {
		if !f.overlaps(p.sentAt.Add(-contactTime), p.endedAt) {
			continue
		}
		switch f.entry {
		case p.entry:
			return 0, false
		case theCore:
			stable = false
		}
	}
	for n := len(h.versions) - 1; n >= 0; n-- {
		acked := h.versions[n].ackedAt
		bound := applyTime
		if !stable {
			bound += skewTime
			if h.wasDown(acked.Add(-contactTime), p.endedAt) {
				continue
			}
		}
		if !acked.IsZero() && acked.Add(bound).Before(p.sentAt) {
			return n, true
		}
	}
	return 0, false
}

func (h drillHistory) wasDown(from, to time.Time) bool {
	for _, f := range h.faults {
		if f.down && f.overlaps(from, to) {
			return true
		}
	}
	return false
}

// wasKilledAfter reports whether the line of a probe may be lost, as the entry was killed then.
func (h drillHistory) wasKilledAfter(p drillProbe) bool {
	for _, f := range h.faults {
		if f.killed && f.entry == p.entry && f.from.Before(p.endedAt.Add(flushTime)) && p.sentAt.Before(f.to) {
			return true
		}
	}
	return false
}

// lifetime returns the number of starts of an entry up to a time.
func (h drillHistory) lifetime(entry int, at time.Time) (n int) {
	for _, s := range h.starts {
		if s.entry == entry && !s.at.After(at) {
			n++
		}
	}
	return n
}

// floors returns for each probe the index of the newest version whose effect an upstream saw from
// the same process long enough before.
func (h drillHistory) floors() []int {
	type effect struct {
		seenAt                   time.Time
		entry, lifetime, version int
	}
	var effects []effect
	highest := map[[2]int]int{}
	for _, p := range h.probes {
		if p.status != http.StatusOK {
			continue
		}
		lifetime := h.lifetime(p.entry, p.sentAt)
		version := 0
		for version < len(h.versions) && !h.versions[version].allows(p) {
			version++
		}
		process := [2]int{p.entry, lifetime}
		if version < len(h.versions) && version > highest[process] && lifetime == h.lifetime(p.entry, p.endedAt) {
			highest[process] = version
			effects = append(effects, effect{seenAt: p.endedAt, entry: p.entry, lifetime: lifetime, version: version})
		}
	}
	floors := make([]int, len(h.probes))
	for i, p := range h.probes {
		lifetime := h.lifetime(p.entry, p.sentAt)
		for _, e := range effects {
			if e.entry == p.entry && e.lifetime == lifetime && e.seenAt.Add(regressTime).Before(p.sentAt) {
				floors[i] = max(floors[i], e.version)
			}
		}
	}
	return floors
}

// slowest returns the longest time from an acknowledgement to a caller's first success on the
// route that the version added, over the entries and versions without a fault meanwhile.
func (h drillHistory) slowest() (longest time.Duration) {
	for _, v := range h.versions[1:] {
		first := map[int]time.Time{}
		for _, p := range h.probes {
			if at, ok := first[p.entry]; p.kind == newestRoute && p.prefix == v.addedRoute() && p.status == http.StatusOK && (!ok || p.endedAt.Before(at)) {
				first[p.entry] = p.endedAt
			}
		}
		for entry, at := range first {
			if h.isCalm(entry, v.ackedAt.Add(-contactTime), at) {
				longest = max(longest, at.Sub(v.ackedAt))
			}
		}
	}
	return longest
}

// isCalm reports whether neither the store nor an entry had a fault between two times.
func (h drillHistory) isCalm(entry int, from, to time.Time) bool {
	for _, f := range h.faults {
		if (f.entry == entry || f.entry == theCore) && f.overlaps(from, to) {
			return false
		}
	}
	return true
}

// summary returns the numbers of a drill.
func (h drillHistory) summary(broken []brokenRule) string {
	statuses, rules := map[int]int{}, map[string]int{}
	unconfirmed := 0
	for _, p := range h.probes {
		statuses[p.status]++
		if p.isRefusal() && !p.isDenial() {
			unconfirmed++
		}
	}
	for _, b := range broken {
		rules[b.rule]++
	}
	return fmt.Sprintf("%d probes, by status %v, of the 503 %d with a configuration out of date; in force after %v at most; broken %v",
		len(h.probes), statuses, unconfirmed, h.slowest().Round(time.Millisecond), rules)
}

// TestJudge checks that the judgement of TestConfigInForce finds what the rules forbid and
// nothing else. Version 2 is written at 1 s and moves /moved/.
func TestJudge(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	versions := []drillVersion{
		{number: 1, sentAt: at(-9), ackedAt: at(-9), routes: map[string]string{"/base/": "desk", "/moved/": "desk", "/only-1/": "desk"}, keys: map[string]bool{drillKey: true, "key-1": true}},
		{number: 2, sentAt: at(1), ackedAt: at(1), routes: map[string]string{"/base/": "desk", "/moved/": "office", "/v2/": "office"}, keys: map[string]bool{drillKey: true, "key-2": true}},
	}
	probe := func(sent float64, prefix, key string, status int, service string) drillProbe {
		return drillProbe{prefix: prefix, key: key, sentAt: at(sent), endedAt: at(sent + 0.01), status: status, service: service}
	}
	fault := func(entry int, from, to float64, down bool) drillFault {
		return drillFault{entry: entry, from: at(from), to: at(to), down: down}
	}
	tests := map[string]struct {
		probes []drillProbe
		faults []drillFault
		starts []processStart
		want   []string
	}{
		"in time":                                {probes: []drillProbe{probe(2.9, "/v2/", drillKey, 404, ""), probe(3.1, "/v2/", drillKey, 200, "office")}},
		"added route late":                       {probes: []drillProbe{probe(3.1, "/v2/", drillKey, 404, "")}, want: []string{ruleLate, ruleDenied}},
		"added key late":                         {probes: []drillProbe{probe(3.1, "/base/", "key-2", 401, "")}, want: []string{ruleLate, ruleDenied}},
		"moved route late":                       {probes: []drillProbe{probe(3.1, "/moved/", drillKey, 200, "desk")}, want: []string{ruleLate}},
		"removed route served":                   {probes: []drillProbe{probe(3.1, "/only-1/", drillKey, 200, "desk")}, want: []string{ruleLate}},
		"revoked key served":                     {probes: []drillProbe{probe(3.1, "/base/", "key-1", 200, "desk")}, want: []string{ruleLate}},
		"removed route, revoked key":             {probes: []drillProbe{probe(3.1, "/only-1/", drillKey, 404, ""), probe(3.1, "/base/", "key-1", 401, "")}},
		"503 and no response":                    {probes: []drillProbe{probe(3.1, "/v2/", drillKey, 503, ""), probe(3.1, "/v2/", drillKey, 0, "")}},
		"route that never was, served":           {probes: []drillProbe{probe(3.1, "/none/", drillKey, 200, "desk")}, want: []string{ruleLate}},
		"another entry's fault":                  {probes: []drillProbe{probe(3.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(1, 1, 2, false)}, want: []string{ruleLate, ruleDenied}},
		"the entry's fault":                      {probes: []drillProbe{probe(3.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(0, 0, 0.2, false)}},
		"after the entry's fault":                {probes: []drillProbe{probe(3.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(0, -1, 0.05, false)}, want: []string{ruleLate, ruleDenied}},
		"first route in the entry's fault":       {probes: []drillProbe{probe(3.1, "/base/", drillKey, 404, "")}, faults: []drillFault{fault(0, 0, 9, false)}, want: []string{ruleRegress, ruleDenied}},
		"store turns some away":                  {probes: []drillProbe{probe(7.9, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(theCore, 0, 9, false)}},
		"store turns some away, for long":        {probes: []drillProbe{probe(8.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(theCore, 0, 9, false)}, want: []string{ruleLate, ruleDenied}},
		"store down":                             {probes: []drillProbe{probe(8.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(theCore, 0, 9, true)}},
		"after the store was down":               {probes: []drillProbe{probe(8.1, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(theCore, 0, 5, true)}, want: []string{ruleLate, ruleDenied}},
		"back after its effect":                  {probes: []drillProbe{probe(1.1, "/v2/", drillKey, 200, "office"), probe(1.4, "/moved/", drillKey, 200, "desk")}, want: []string{ruleRegress}},
		"back at once":                           {probes: []drillProbe{probe(1.1, "/v2/", drillKey, 200, "office"), probe(1.3, "/moved/", drillKey, 200, "desk")}},
		"back after a restart":                   {probes: []drillProbe{probe(1.1, "/v2/", drillKey, 200, "office"), probe(1.9, "/moved/", drillKey, 200, "desk")}, starts: []processStart{{entry: 0, at: at(1.5)}}},
		"back in the entry's fault, no restart":  {probes: []drillProbe{probe(1.1, "/v2/", drillKey, 200, "office"), probe(1.9, "/v2/", drillKey, 404, "")}, faults: []drillFault{fault(0, 1, 9, false)}, want: []string{ruleRegress}},
		"what was there before the version came": {probes: []drillProbe{probe(0.5, "/v2/", drillKey, 200, "office")}, want: []string{ruleLate}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := drillHistory{versions: versions, faults: test.faults, starts: test.starts, probes: test.probes}
			var got []string
			for _, b := range h.judge() {
				got = append(got, b.rule)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
