package sched

import (
	"fmt"
	"math"
	"time"

	"cactustide/config"
)

// naive is the plain version of the queue: one list, sorted anew for each
// question, with every count taken from the lists.
type naive struct {
	policy  Policy
	queue   []*naiveRequest
	running []*naiveRequest
	counter map[string]float64
	virtual [config.Tiers]float64
	gap     map[string]int
	// finished holds the real lengths by tier.
	finished map[int][]float64
	seq      int
	now      time.Time
	// arrivals holds each tier's arrival times with the mean slot time then.
	arrivals map[int][]naiveArrival
	// times holds the real slot times by tier.
	times map[int][]float64
}

type naiveRequest struct {
	id, class, partner string
	tokens, charged    float64
	suspect            bool
	tier, seq          int
	begin              time.Time
}

type naiveArrival struct {
	at   time.Time
	mean float64
}

// meanTime goes through all finished requests of the tier.
func (n *naive) meanTime(tier int) float64 {
	times, runs := 0.0, 0.0
	for _, x := range n.times[tier] {
		times = times*lengthDecay + x
		runs = runs*lengthDecay + 1
	}
	if runs == 0 {
		return 0
	}
	return times / runs
}

// mayHold adds up the demand of the higher tiers arrival by arrival.
func (n *naive) mayHold(tier int) bool {
	// Tiers with short work leave their slots soon enough.
	part := max(0, min(1, (n.meanTime(tier)-reserveFrom.Seconds())/(reserveFull-reserveFrom).Seconds()))
	higher := 0.0
	for t := range tier {
		for _, a := range n.arrivals[t] {
			higher += a.mean / demandSpan.Seconds() * math.Exp(-n.now.Sub(a.at).Seconds()/demandSpan.Seconds())
		}
	}
	reserve := min(int(math.Round(part*(higher+reserveMargin*math.Sqrt(higher)))), n.policy.Slots-1)
	held := 0
	for _, x := range n.running {
		if x.tier >= tier {
			held++
		}
	}
	return held < n.policy.Slots-reserve
}

func (n *naive) key(tier int, partner string) string { return fmt.Sprint(tier, "/", partner) }

func (n *naive) share(partner string) float64 {
	if s := n.policy.Shares[partner]; s > 0 {
		return s
	}
	return 1
}

func (n *naive) offer(r *naiveRequest) string {
	n.seq++
	r.seq = n.seq
	r.tier = n.policy.Classes[r.class].Tier
	if n.backlog(r.tier, r.partner) == 0 {
		k := n.key(r.tier, r.partner)
		n.counter[k] = max(n.counter[k], n.virtual[r.tier])
	}
	n.queue = append(n.queue, r)
	n.arrivals[r.tier] = append(n.arrivals[r.tier], naiveArrival{at: n.now, mean: n.meanTime(r.tier)})
	if len(n.queue) <= n.policy.QueueLimit {
		return ""
	}
	if len(n.queue) == 1 && len(n.running) < n.policy.Slots && n.eligible(r) && n.mayHold(r.tier) {
		return ""
	}
	worst := n.queue[0]
	for _, x := range n.queue[1:] {
		if n.worse(x, worst) {
			worst = x
		}
	}
	n.drop(worst)
	return worst.id
}

func (n *naive) backlog(tier int, partner string) int {
	count := 0
	for _, x := range n.queue {
		if x.tier == tier && x.partner == partner {
			count++
		}
	}
	return count
}

func (n *naive) worse(a, b *naiveRequest) bool {
	if a.tier != b.tier {
		return a.tier > b.tier
	}
	ca := n.counter[n.key(a.tier, a.partner)] + float64(n.backlog(a.tier, a.partner))/n.share(a.partner)
	cb := n.counter[n.key(b.tier, b.partner)] + float64(n.backlog(b.tier, b.partner))/n.share(b.partner)
	if a.partner != b.partner && ca != cb {
		return ca > cb
	}
	return a.seq > b.seq
}

func (n *naive) drop(r *naiveRequest) {
	for i, x := range n.queue {
		if x == r {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			break
		}
	}
}

func (n *naive) eligible(r *naiveRequest) bool {
	held, suspects := 0, 0
	for _, x := range n.running {
		if x.class == r.class {
			held++
		}
		if x.suspect {
			suspects++
		}
	}
	if r.suspect && suspects > 0 {
		return false
	}
	limit := n.policy.Slots
	if c := n.policy.Classes[r.class].Cap; c > 0 && c < 1 {
		limit = max(1, int(c*float64(n.policy.Slots)))
	}
	return held < limit
}

func (n *naive) before(a, b *naiveRequest) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	ca := n.counter[n.key(a.tier, a.partner)] + n.excess(a.tier)/n.share(a.partner)
	cb := n.counter[n.key(b.tier, b.partner)] + n.excess(b.tier)/n.share(b.partner)
	if a.partner != b.partner && ca != cb {
		return ca < cb
	}
	return a.seq < b.seq
}

// excess goes through all finished requests of the tier.
func (n *naive) excess(tier int) float64 {
	lengths, squares := 0.0, 0.0
	for _, tokens := range n.finished[tier] {
		lengths = lengths*lengthDecay + tokens
		squares = squares*lengthDecay + tokens*tokens
	}
	if lengths == 0 {
		return 0
	}
	return squares / (2 * lengths)
}

func (n *naive) best(class string, reserve bool) *naiveRequest {
	var found *naiveRequest
	for _, x := range n.queue {
		if class != "" && x.class != class || !n.eligible(x) || reserve && !n.mayHold(x.tier) {
			continue
		}
		if found == nil || n.before(x, found) {
			found = x
		}
	}
	return found
}

// due lists the classes with a floor and work, most urgent first.
func (n *naive) due() []string {
	var names []string
	for name, c := range n.policy.Classes {
		if c.Floor > 0 && n.best(name, false) != nil {
			names = append(names, name)
		}
	}
	period := func(name string) int { return config.Period(n.policy.Classes[name].Floor) }
	left := func(name string) int { return period(name) - n.gap[name] }
	for i := range names {
		for j := i + 1; j < len(names); j++ {
			a, b := names[j], names[i]
			ta, tb := n.policy.Classes[a].Tier, n.policy.Classes[b].Tier
			if left(a) < left(b) || left(a) == left(b) && (ta < tb || ta == tb && a < b) {
				names[i], names[j] = names[j], names[i]
			}
		}
	}
	if len(names) > 0 && left(names[0]) <= 0 {
		return names[:1] // Overdue: a cap or another suspect held it up.
	}
	// The plain way: lay out every start that is due, horizon by horizon.
	for horizon := 1; len(names) > 0 && horizon <= left(names[len(names)-1]); horizon++ {
		needed := 0
		for _, name := range names {
			for at := left(name); at <= horizon; at += period(name) {
				needed++
			}
		}
		if needed >= horizon {
			return names[:1]
		}
	}
	return nil
}

func (n *naive) next() string {
	if len(n.running) >= n.policy.Slots {
		return ""
	}
	var r *naiveRequest
	if due := n.due(); due != nil {
		r = n.best(due[0], false)
	} else {
		r = n.best("", true)
	}
	if r == nil {
		return ""
	}
	n.drop(r)
	n.running = append(n.running, r)
	r.begin = n.now
	k := n.key(r.tier, r.partner)
	n.virtual[r.tier] = max(n.virtual[r.tier], n.counter[k])
	r.charged = r.tokens
	n.counter[k] += r.tokens / n.share(r.partner)
	for name := range n.policy.Classes {
		waiting := false
		for _, x := range n.queue {
			waiting = waiting || x.class == name
		}
		switch {
		case name == r.class:
			n.gap[name] = 0
		case waiting:
			n.gap[name]++
		}
	}
	return r.id
}

func (n *naive) finish(id string, tokens float64) {
	for i, x := range n.running {
		if x.id == id {
			n.running = append(n.running[:i:i], n.running[i+1:]...)
			n.times[x.tier] = append(n.times[x.tier], n.now.Sub(x.begin).Seconds())
			n.finished[x.tier] = append(n.finished[x.tier], tokens)
			n.counter[n.key(x.tier, x.partner)] += (tokens - x.charged) / n.share(x.partner)
			return
		}
	}
}
