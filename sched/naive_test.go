package sched

import (
	"fmt"
	"math"
	"time"

	"cactustide/config"
)

// naive is a reference implementation of the scheduler: one list, searched in full
// for each decision, with every count taken from the lists.
type naive struct {
	policy          Policy
	queue           []*naiveRequest
	running         []*naiveRequest
	tokenCounter    map[string]float64
	virtualTime     [config.Tiers]float64
	startsSinceLast map[string]int
	// lengths holds the actual lengths of the finished requests by tier, in tokens.
	lengths map[int][]float64
	seq     int
	now     time.Time
	// arrivals holds each tier's arrivals with its mean slot time at that moment.
	arrivals map[int][]naiveArrival
	// slotTimes holds the slot times of the finished requests by tier, in seconds.
	slotTimes map[int][]float64
}

type naiveRequest struct {
	id, class, partner string
	tokens, charged    float64
	suspect            bool
	tier, seq          int
	started            time.Time
}

type naiveArrival struct {
	at           time.Time
	meanSlotTime float64
}

// meanSlotTime computes the decayed mean over all finished requests of the tier,
// in seconds.
func (n *naive) meanSlotTime(tier int) float64 {
	slotTimeSum, finishedSum := 0.0, 0.0
	for _, x := range n.slotTimes[tier] {
		slotTimeSum = slotTimeSum*sumDecay + x
		finishedSum = finishedSum*sumDecay + 1
	}
	if finishedSum == 0 {
		return 0
	}
	return slotTimeSum / finishedSum
}

// mayTakeSlot adds up the offered load of the higher tiers over every arrival.
func (n *naive) mayTakeSlot(tier int) bool {
	// Short requests free their slots soon enough for the higher tiers.
	fraction := max(0, min(1, (n.meanSlotTime(tier)-reserveMinSlotTime.Seconds())/(reserveFullSlotTime-reserveMinSlotTime).Seconds()))
	higherLoad := 0.0
	for t := range tier {
		for _, a := range n.arrivals[t] {
			higherLoad += a.meanSlotTime / loadTimeConstant.Seconds() * math.Exp(-n.now.Sub(a.at).Seconds()/loadTimeConstant.Seconds())
		}
	}
	reserve := min(int(math.Round(fraction*(higherLoad+reserveDeviations*math.Sqrt(higherLoad)))), n.policy.Slots-1)
	taken := 0
	for _, x := range n.running {
		if x.tier >= tier {
			taken++
		}
	}
	return taken < n.policy.Slots-reserve
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
	if n.queuedByPartner(r.tier, r.partner) == 0 {
		k := n.key(r.tier, r.partner)
		n.tokenCounter[k] = max(n.tokenCounter[k], n.virtualTime[r.tier])
	}
	n.queue = append(n.queue, r)
	n.arrivals[r.tier] = append(n.arrivals[r.tier], naiveArrival{at: n.now, meanSlotTime: n.meanSlotTime(r.tier)})
	if len(n.queue) <= n.policy.QueueLimit {
		return ""
	}
	if len(n.queue) == 1 && len(n.running) < n.policy.Slots && n.eligible(r) && n.mayTakeSlot(r.tier) {
		return ""
	}
	worst := n.queue[0]
	for _, x := range n.queue[1:] {
		if n.isEvictedBefore(x, worst) {
			worst = x
		}
	}
	n.remove(worst)
	return worst.id
}

func (n *naive) queuedByPartner(tier int, partner string) int {
	count := 0
	for _, x := range n.queue {
		if x.tier == tier && x.partner == partner {
			count++
		}
	}
	return count
}

func (n *naive) isEvictedBefore(a, b *naiveRequest) bool {
	if a.tier != b.tier {
		return a.tier > b.tier
	}
	ca := n.tokenCounter[n.key(a.tier, a.partner)] + float64(n.queuedByPartner(a.tier, a.partner))/n.share(a.partner)
	cb := n.tokenCounter[n.key(b.tier, b.partner)] + float64(n.queuedByPartner(b.tier, b.partner))/n.share(b.partner)
	if a.partner != b.partner && ca != cb {
		return ca > cb
	}
	return a.seq > b.seq
}

func (n *naive) remove(r *naiveRequest) {
	for i, x := range n.queue {
		if x == r {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			break
		}
	}
}

func (n *naive) eligible(r *naiveRequest) bool {
	taken, runningSuspects := 0, 0
	for _, x := range n.running {
		if x.class == r.class {
			taken++
		}
		if x.suspect {
			runningSuspects++
		}
	}
	if r.suspect && runningSuspects > 0 {
		return false
	}
	limit := n.policy.Slots
	if c := n.policy.Classes[r.class].Cap; c > 0 && c < 1 {
		limit = max(1, int(c*float64(n.policy.Slots)))
	}
	return taken < limit
}

func (n *naive) isBefore(a, b *naiveRequest) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	ca := n.tokenCounter[n.key(a.tier, a.partner)] + n.meanResidual(a.tier)/n.share(a.partner)
	cb := n.tokenCounter[n.key(b.tier, b.partner)] + n.meanResidual(b.tier)/n.share(b.partner)
	if a.partner != b.partner && ca != cb {
		return ca < cb
	}
	return a.seq < b.seq
}

// meanResidual computes the decayed sums over all finished requests of the tier.
func (n *naive) meanResidual(tier int) float64 {
	lengthSum, squareSum := 0.0, 0.0
	for _, tokens := range n.lengths[tier] {
		lengthSum = lengthSum*sumDecay + tokens
		squareSum = squareSum*sumDecay + tokens*tokens
	}
	if lengthSum == 0 {
		return 0
	}
	return squareSum / (2 * lengthSum)
}

func (n *naive) bestRequest(class string, reserve bool) *naiveRequest {
	var found *naiveRequest
	for _, x := range n.queue {
		if class != "" && x.class != class || !n.eligible(x) || reserve && !n.mayTakeSlot(x.tier) {
			continue
		}
		if found == nil || n.isBefore(x, found) {
			found = x
		}
	}
	return found
}

// dueClass returns the most urgent class with a floor if it must start now, as a
// list of one, else nil.
func (n *naive) dueClass() []string {
	var names []string
	for name, c := range n.policy.Classes {
		if c.Floor > 0 && n.bestRequest(name, false) != nil {
			names = append(names, name)
		}
	}
	period := func(name string) int { return config.Period(n.policy.Classes[name].Floor) }
	deadline := func(name string) int { return period(name) - n.startsSinceLast[name] }
	for i := range names {
		for j := i + 1; j < len(names); j++ {
			a, b := names[j], names[i]
			ta, tb := n.policy.Classes[a].Tier, n.policy.Classes[b].Tier
			if deadline(a) < deadline(b) || deadline(a) == deadline(b) && (ta < tb || ta == tb && a < b) {
				names[i], names[j] = names[j], names[i]
			}
		}
	}
	if len(names) > 0 && deadline(names[0]) <= 0 {
		return names[:1] // Overdue: a cap or another suspect held it up.
	}
	// Counts every start that is due, horizon by horizon.
	for horizon := 1; len(names) > 0 && horizon <= deadline(names[len(names)-1]); horizon++ {
		needed := 0
		for _, name := range names {
			for at := deadline(name); at <= horizon; at += period(name) {
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
	if due := n.dueClass(); due != nil {
		r = n.bestRequest(due[0], false)
	} else {
		r = n.bestRequest("", true)
	}
	if r == nil {
		return ""
	}
	n.remove(r)
	n.running = append(n.running, r)
	r.started = n.now
	k := n.key(r.tier, r.partner)
	n.virtualTime[r.tier] = max(n.virtualTime[r.tier], n.tokenCounter[k])
	r.charged = r.tokens
	n.tokenCounter[k] += r.tokens / n.share(r.partner)
	for name := range n.policy.Classes {
		waiting := false
		for _, x := range n.queue {
			waiting = waiting || x.class == name
		}
		switch {
		case name == r.class:
			n.startsSinceLast[name] = 0
		case waiting:
			n.startsSinceLast[name]++
		}
	}
	return r.id
}

func (n *naive) finish(id string, tokens float64) {
	for i, x := range n.running {
		if x.id == id {
			n.running = append(n.running[:i:i], n.running[i+1:]...)
			n.slotTimes[x.tier] = append(n.slotTimes[x.tier], n.now.Sub(x.started).Seconds())
			n.lengths[x.tier] = append(n.lengths[x.tier], tokens)
			n.tokenCounter[n.key(x.tier, x.partner)] += (tokens - x.charged) / n.share(x.partner)
			return
		}
	}
}
