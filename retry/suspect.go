package retry

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// partThreshold is the number of crashes at which requests with a part are refused; those
	// that follow each other closely count as fractions.
	partThreshold = 2.5
	// lateCrash is what a crash counts for a part whose responses had all begun long before:
	// upstreams crash mostly as they begin to write.
	lateCrash = 0.7
	// crowdCost is what each doubling of the requests that a crash ended takes from the
	// crashes of a part, in crashes, and minWeight what must be left of them: the more requests
	// ran at a crash, the more likely one with the part was there by chance.
	crowdCost = 0.5
	minWeight = 2.0
	// crowdRank is the same for the order of the parts.
	crowdRank = 0.25
	// minExplained is the number of crashes from which a subject explains them, though it is
	// refused only from evidenceThreshold on.
	minExplained = 2
	// refusedLead is how many more crashes a part must explain than one that was refused
	// refusedAge before: requests with that one are there at no crash since.
	refusedLead = 2.0
	refusedAge  = time.Second
	// refinedCrashes is the share of the crashes of a part that a narrower one must explain to
	// go before it. narrower is how many times more requests the wider one has at a crash,
	// muchNarrower the same where there are fewer crashes than evidenceThreshold.
	refinedCrashes = 0.5
	narrower       = 2.0
	muchNarrower   = 4.0
	// maxCounted is the number of crashes up to which those of a request are counted.
	maxCounted = 16
	// momentSpan is the time within which crashes count as one moment. It covers what the times
	// of entries differ by.
	momentSpan = 250 * time.Millisecond
	// alikeSlack is by how much the times may differ for which two copies of a request ran, or at
	// which they were sent, if it ended both upstreams by what it does.
	alikeSlack = 100 * time.Millisecond
	// briefRun is the longest time for which a request may have run to explain the crash of its
	// upstream although copies that ran beside it ended before.
	briefRun = 2500 * time.Millisecond
)

// crashesBySubject holds the record of each crash by subject and process.
type crashesBySubject map[string]map[string]crashRecord

// suspect is what the crashes that nothing else explains say of a subject.
type suspect struct {
	subject string
	// processes is the number of processes that crashed, requests that of the requests with
	// the subject that ended there.
	processes, requests int
	// count is the number of crashes that tell more than the ones before, and reached is when it
	// came to the threshold; zero if it did not.
	count   float64
	reached time.Time
	// crowd is how often the requests with the subject at a crash must be halved to get one,
	// rank the number of crashes that the subject explains, less what its crowd takes.
	crowd, rank float64
	// overlapping is set if the count suffices only with requests that ran beside others which
	// count, ran is the shortest time for which one that counts ran.
	overlapping bool
	ran         time.Duration
}

// suspectGroup is a group of subjects: requests that hold all of them are to be refused, or, if
// overlapping is set, only while none of them has run for longer than ran.
type suspectGroup struct {
	subjects    []string
	overlapping bool
	ran         time.Duration
}

// findSuspects returns the subjects that explain the crashes, as groups: requests that hold all
// subjects of one are to be refused. The subject with the most crashes explains them; a crash that
// it explains does not count for others, which were there by chance. Parts are compared by the
// requests that held them as well:
//   - A part that many requests share is there at each crash. A narrower one that was always in
//     one of these requests explains the crashes better.
//   - Parts that were in the same requests at each crash are one group, as nothing tells them
//     apart. A request with one of them alone runs, and shows which one it is.
//   - The crashes that come while requests with a part are refused say nothing about that part.
func findSuspects(all crashesBySubject, ended map[string]time.Time, parts bool) []suspectGroup {
	enough := false
	for _, crashes := range all {
		enough = enough || len(crashes) >= evidenceThreshold
	}
	if !enough {
		return nil
	}
	search := newSuspectSearch(all, ended, parts)
	var groups []suspectGroup
	for {
		worst, ok := search.findWorst()
		if !ok {
			return groups
		}
		group := search.findGroup(worst)
		if search.suffices(worst) {
			groups = append(groups, suspectGroup{subjects: group, overlapping: worst.overlapping, ran: worst.ran})
		}
		search.explain(worst.subject)
	}
}

// suspectSearch is the state of findSuspects.
type suspectSearch struct {
	parts   bool
	crashes crashesBySubject
	// subjects holds the subjects at the crash of each process, suspects what the crashes
	// that are not explained say of each subject.
	subjects map[string][]string
	suspects map[string]suspect
	// explained holds the processes whose crash a subject explains.
	explained map[string]bool
	// ends holds when processes crashed, in the order of time.
	ends []processEnd
}

// processEnd is when a process of an upstream crashed.
type processEnd struct {
	process string
	at      time.Time
}

func newSuspectSearch(all crashesBySubject, ended map[string]time.Time, parts bool) *suspectSearch {
	s := &suspectSearch{
		parts: parts, crashes: crashesBySubject{}, subjects: map[string][]string{},
		suspects: map[string]suspect{}, explained: map[string]bool{},
	}
	for process, at := range ended {
		s.ends = append(s.ends, processEnd{process: process, at: at})
	}
	slices.SortFunc(s.ends, func(a, b processEnd) int { return a.at.Compare(b.at) })
	for subject, crashes := range all {
		if len(crashes) < minExplained {
			continue
		}
		s.crashes[subject] = crashes
		s.suspects[subject] = s.weigh(subject, crashes)
		for process := range crashes {
			s.subjects[process] = append(s.subjects[process], subject)
		}
	}
	return s
}

// explain marks the crashes of a subject as explained by it, and weighs the others that were there
// again.
func (s *suspectSearch) explain(subject string) {
	others := map[string]bool{}
	for process := range s.crashes[subject] {
		if !s.explained[process] {
			s.explained[process] = true
			for _, other := range s.subjects[process] {
				others[other] = true
			}
		}
	}
	for other := range others {
		if x := s.weigh(other, s.crashes[other]); x.processes >= minExplained {
			s.suspects[other] = x
		} else {
			delete(s.suspects, other)
		}
	}
}

// findWorst returns the subject that explains most, or false if none explains anything.
func (s *suspectSearch) findWorst() (suspect, bool) {
	var found ranking
	for _, x := range s.suspects {
		found.add(x, s.suffices(x))
	}
	worst := found.best(s.parts)
	for s.parts && worst.subject != "" {
		refined, ok := s.refine(worst)
		if !ok {
			break
		}
		worst = refined
	}
	return worst, worst.subject != ""
}

// refine returns the worst of the parts that were always in a request with the given one, in
// fewer requests than that, and explain much of what it does.
func (s *suspectSearch) refine(wide suspect) (suspect, bool) {
	var found ranking
	for subject, x := range s.suspects {
		if float64(x.processes) < refinedCrashes*float64(wide.processes) || x.crowd >= wide.crowd {
			continue
		}
		ratio, enough := 1.0, s.suffices(x)
		if !enough {
			ratio = muchNarrower
		} else if x.processes < wide.processes {
			ratio = narrower
		}
		if x.crowd+math.Log2(ratio) <= wide.crowd && s.isRefined(s.crashes[subject], s.crashes[wide.subject]) {
			found.add(x, enough)
		}
	}
	worst := found.best(true)
	return worst, worst.subject != ""
}

// ranking finds the subject that explains most.
type ranking struct {
	// first is the one for which the crashes sufficed first.
	worst, first suspect
}

func (r *ranking) add(x suspect, suffices bool) {
	if x.isWorse(r.worst) {
		r.worst = x
	}
	if suffices && x.isBefore(r.first) {
		r.first = x
	}
}

// best returns the subject that explains most; a part that was refused before it did keeps its
// place unless the other explains far more.
func (r *ranking) best(parts bool) suspect {
	if parts && r.first.subject != "" && r.worst.rank <= r.first.rank+refusedLead && r.worst.reached.Sub(r.first.reached) >= refusedAge {
		return r.first
	}
	return r.worst
}

// isRefined reports whether, at each crash that is not explained, the requests with the narrow
// part are among those with the wide one.
func (s *suspectSearch) isRefined(narrow, wide map[string]crashRecord) bool {
	for process, r := range narrow {
		if !s.explained[process] && (r.requests == 0 || r.requests&^wide[process].requests != 0) {
			return false
		}
	}
	return true
}

// findGroup returns the parts that were in the same requests as the worst one, sorted.
func (s *suspectSearch) findGroup(worst suspect) []string {
	group := []string{worst.subject}
	for subject := range s.suspects {
		crashes := s.crashes[subject]
		if s.parts && subject != worst.subject && s.isRefined(crashes, s.crashes[worst.subject]) && s.isRefined(s.crashes[worst.subject], crashes) {
			group = append(group, subject)
		}
	}
	slices.Sort(group)
	return group
}

// weigh counts the crashes that are not explained and the requests that they ended.
func (s *suspectSearch) weigh(subject string, crashes map[string]crashRecord) suspect {
	x := suspect{subject: subject}
	records := make([]crashRecord, 0, len(crashes))
	for process, r := range crashes {
		if !s.explained[process] {
			records = append(records, r)
			x.requests += r.requests.size()
		}
	}
	x.processes = len(records)
	slices.SortFunc(records, func(a, b crashRecord) int { return cmp.Or(a.at.Compare(b.at), a.began.Compare(b.began)) })
	if s.parts {
		x.count, x.reached = countPartCrashes(records)
	} else {
		counted := s.countRequestCrashes(records, crashes)
		x.count = float64(len(counted))
		x.overlapping = countApart(records) < evidenceThreshold
		x.ran = shortestRun(counted)
	}
	if x.processes > 0 {
		x.crowd = math.Log2(float64(x.requests) / float64(x.processes))
		x.rank = float64(x.processes) - crowdRank*x.crowd
	}
	return x
}

// countPartCrashes counts crashes in the order of time; those that follow each other closely count
// as fractions. It returns when the count came to the threshold, too.
func countPartCrashes(records []crashRecord) (count float64, reached time.Time) {
	var last time.Time
	for i, r := range records {
		value := 1.0
		if r.late {
			value = lateCrash
		}
		if i > 0 {
			value *= min(1, float64(r.at.Sub(last))/float64(crashSpacing))
		}
		count += value
		last = r.at
		if count >= partThreshold && reached.IsZero() {
			reached = r.at
		}
	}
	return count, reached
}

// countRequestCrashes returns the crashes that count, in the order of time, at most maxCounted.
func (s *suspectSearch) countRequestCrashes(records []crashRecord, own map[string]crashRecord) []crashRecord {
	counted := make([]crashRecord, 0, maxCounted)
	for _, r := range records {
		if len(counted) == maxCounted {
			break
		}
		if !s.hasOtherCause(r, counted, own) {
			counted = append(counted, r)
		}
	}
	return counted
}

// countApart counts crashes in the order of time whose request was sent after those that count
// before, but for overlapSlack.
func countApart(records []crashRecord) int {
	count := 0
	var last time.Time
	for _, r := range records {
		if count == 0 || !r.began.Before(last.Add(-overlapSlack)) {
			count++
			last = r.at
		}
	}
	return count
}

// shortestRun returns the shortest time for which a request ran.
func shortestRun(records []crashRecord) time.Duration {
	shortest := briefRun
	for _, r := range records {
		shortest = min(shortest, r.ran())
	}
	return shortest
}

// hasOtherCause reports whether a crash says no more of a request than those before it which count:
// the copy ran already when one of them ended, and
//   - it had run for long,
//   - or other upstreams, without a copy, crashed at that moment too,
//   - or one of them was at that moment, and had neither run for as long nor been sent together
//     with it.
func (s *suspectSearch) hasOtherCause(r crashRecord, counted []crashRecord, own map[string]crashRecord) bool {
	beside, unlike := false, false
	for _, c := range counted {
		if !r.began.Before(c.at.Add(-overlapSlack)) {
			continue
		}
		beside = true
		if r.at.Sub(c.at) < momentSpan {
			unlike = unlike || (r.ran()-c.ran()).Abs() > alikeSlack && r.began.Sub(c.began).Abs() > alikeSlack
		}
	}
	return beside && (r.ran() > briefRun || unlike || s.hasBystander(r.at, own))
}

// hasBystander reports whether an upstream that had no copy of a request crashed at a moment.
func (s *suspectSearch) hasBystander(at time.Time, own map[string]crashRecord) bool {
	i, _ := slices.BinarySearchFunc(s.ends, at.Add(-momentSpan), func(p processEnd, t time.Time) int { return p.at.Compare(t) })
	for ; i < len(s.ends) && s.ends[i].at.Before(at.Add(momentSpan)); i++ {
		if _, ok := own[s.ends[i].process]; !ok {
			return true
		}
	}
	return false
}

// suffices reports whether requests with the subject are to be refused.
func (s *suspectSearch) suffices(x suspect) bool {
	if s.parts {
		return x.count >= partThreshold && x.count-crowdCost*x.crowd >= minWeight
	}
	return x.count >= evidenceThreshold
}

// isWorse reports whether a subject explains more than another one.
func (x suspect) isWorse(other suspect) bool {
	if other.subject == "" {
		return true
	}
	return cmp.Or(
		cmp.Compare(x.rank, other.rank),
		cmp.Compare(x.count, other.count), cmp.Compare(other.subject, x.subject),
	) > 0
}

// isBefore reports whether the crashes sufficed for a subject before they did for another one.
func (x suspect) isBefore(other suspect) bool {
	if other.subject == "" {
		return true
	}
	return x.reached.Before(other.reached) || x.reached.Equal(other.reached) && x.isWorse(other)
}
