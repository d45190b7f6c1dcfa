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
	// quarantineThreshold is the number of crashed upstreams at which a request is
	// refused.
	quarantineThreshold = 3
	// quarantineRetryAfter is the Retry-After of a request that crashed upstreams.
	quarantineRetryAfter = 10 * time.Second
)

// computeFingerprint returns the hash of the method, target, team and body, by
// which a retry of the request is recognized.
func (q *request) computeFingerprint() uint64 {
	if q.fingerprint == 0 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(q.method + " " + q.target + "\n" + q.owner.Team + "\n") // xxhash never returns an error.
		_, _ = d.Write(q.body)
		q.fingerprint = d.Sum64()
	}
	return q.fingerprint
}

// isQuarantined reports whether the request crashed quarantineThreshold upstreams.
func (e *Entry) isQuarantined(now time.Time, q *request) bool {
	_, upstreams := e.crashRecords.Evaluate(now, q.computeFingerprint())
	return len(upstreams) >= quarantineThreshold
}

// recordCrash records the requests that were running at an upstream when it
// crashed. It is called when the upstream's port refuses connections.
func (e *Entry) recordCrash(now time.Time, to fleet.Upstream) {
	fingerprints := e.aborts.TakeAborted(now, to.ID)
	for _, fingerprint := range fingerprints {
		e.crashRecords.Add(now, fingerprint, to.ID)
		e.gossiper.BroadcastCrash(&wire.CrashRecord{Print: fingerprint, Upstream: to.ID, Left: int64(crashRecordTTL / time.Millisecond)})
	}
	if len(fingerprints) > 0 {
		e.log.With("upstream", to.ID).With("requests", len(fingerprints)).Infof("upstream crashed; recorded the requests running there")
	}
}

// recordAbort records that the exchange of a request was aborted. If an earlier
// exchange of the request was aborted too, it opens a connection to find out whether
// the upstream crashed.
func (e *Entry) recordAbort(now time.Time, q *request, to fleet.Upstream) {
	e.recordOutcome(now, to, true)
	if !e.aborts.Record(now, to.ID, q.computeFingerprint()) {
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

// crashRecordTTL is how long peers keep a crash record.
const crashRecordTTL = 10 * time.Minute

func (e *Entry) mergeCrashRecord(now time.Time, record *wire.CrashRecord) {
	e.crashRecords.Merge(now, []retry.CrashRecord{{Fingerprint: record.GetPrint(), Upstream: record.GetUpstream(), Expires: now.Add(time.Duration(record.GetLeft()) * time.Millisecond)}})
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
