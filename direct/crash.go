package direct

import (
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
	"cactustide/retry"
	"cactustide/wire"
)

const (
	// crashLimit is the number of upstreams that a request may crash before it is
	// refused.
	crashLimit = 3
	// crashAfter is when a request that crashed upstreams may be tried again.
	crashAfter = 10 * time.Second
)

// print is the fingerprint of a request that comes again: its method, target,
// team and body.
func (q *request) print() uint64 {
	if q.fingerprint == 0 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(q.method + " " + q.target + "\n" + q.owner.Team + "\n") // A hash never fails.
		_, _ = d.Write(q.body)
		q.fingerprint = d.Sum64()
	}
	return q.fingerprint
}

// isQuarantined reports whether the request crashed too many upstreams.
func (e *Entry) isQuarantined(now time.Time, q *request) bool {
	_, crashed := e.marks.Evaluate(now, q.print())
	return len(crashed) >= crashLimit
}

// noteRefused marks the requests that were running at an upstream when it
// crashed, which its closed port shows.
func (e *Entry) noteRefused(now time.Time, to fleet.Upstream) {
	prints := e.breaks.TakeAborted(now, to.ID)
	for _, p := range prints {
		e.marks.Add(now, p, to.ID)
		e.hub.BroadcastCrash(&wire.CrashRecord{Print: p, Upstream: to.ID, Left: int64(markLife / time.Millisecond)})
	}
	if len(prints) > 0 {
		e.log.With("upstream", to.ID).With("requests", len(prints)).Infof("upstream crashed; its requests are marked")
	}
}

// noteBreak records that the exchange of a request broke off. If the request
// did that before, a connection shows whether the upstream crashed.
func (e *Entry) noteBreak(now time.Time, q *request, to fleet.Upstream) {
	e.record(now, to, true)
	if !e.breaks.Record(now, to.ID, q.print()) {
		return
	}
	limit := e.connLimit(q)
	e.group.Go(func() error {
		c, err := e.pool.Get(time.Now(), to.Address, 0, limit)
		if err == nil {
			e.pool.Put(time.Now(), c, usualKeep)
		} else if isRefused(err) {
			e.ban(time.Now(), to, err)
		}
		return nil
	})
}

// markLife is how long peers keep a mark.
const markLife = 10 * time.Minute

func (e *Entry) hearMark(now time.Time, m *wire.CrashRecord) {
	e.marks.Merge(now, []retry.CrashRecord{{Fingerprint: m.GetPrint(), Upstream: m.GetUpstream(), Expires: now.Add(time.Duration(m.GetLeft()) * time.Millisecond)}})
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
