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
	// maxCrashes is the number of upstreams that a request may crash before it is
	// refused.
	maxCrashes = 3
	// quarantineRetryAfter is when a request that crashed upstreams may be tried again.
	quarantineRetryAfter = 10 * time.Second
)

// computeFingerprint is the fingerprint of a request that comes again: its method, target,
// team and body.
func (q *request) computeFingerprint() uint64 {
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
	_, crashed := e.crashRecords.Judge(now, q.computeFingerprint())
	return len(crashed) >= maxCrashes
}

// recordCrash marks the requests that were running at an upstream when it
// crashed, which its closed port shows.
func (e *Entry) recordCrash(now time.Time, to fleet.Upstream) {
	fingerprints := e.aborts.Crashed(now, to.ID)
	for _, p := range fingerprints {
		e.crashRecords.Add(now, p, to.ID)
		e.gossiper.TellMark(&wire.Mark{Print: p, Upstream: to.ID, Left: int64(crashRecordTTL / time.Millisecond)})
	}
	if len(fingerprints) > 0 {
		e.log.With("upstream", to.ID).With("requests", len(fingerprints)).Infof("upstream crashed; its requests are marked")
	}
}

// recordAbort records that the exchange of a request broke off. If the request
// did that before, a connection shows whether the upstream crashed.
func (e *Entry) recordAbort(now time.Time, q *request, to fleet.Upstream) {
	e.recordOutcome(now, to, true)
	if !e.aborts.Note(now, to.ID, q.computeFingerprint()) {
		return
	}
	limit := e.connLimit(q)
	e.group.Go(func() error {
		c, err := e.pool.Get(time.Now(), to.Address, 0, limit)
		if err == nil {
			e.pool.Put(time.Now(), c, defaultIdleTimeout)
		} else if isConnRefused(err) {
			e.ban(time.Now(), to, err)
		}
		return nil
	})
}

// crashRecordTTL is how long peers keep a mark.
const crashRecordTTL = 10 * time.Minute

func (e *Entry) mergeCrashRecord(now time.Time, m *wire.Mark) {
	e.crashRecords.Merge(now, []retry.Mark{{Print: m.GetPrint(), Upstream: m.GetUpstream(), Expires: now.Add(time.Duration(m.GetLeft()) * time.Millisecond)}})
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
