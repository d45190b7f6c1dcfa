package direct

import (
	"errors"
	"strconv"
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

// isQuarantined reports whether the request crashed quarantineThreshold upstreams, or
// requests with a part of its prompt crash upstreams.
func (e *Entry) isQuarantined(now time.Time, q *request) bool {
	if part, ok := e.partRecords.FindQuarantined(now, q.info.Parts); ok {
		q.log.With("request", q.info.ID).With("part", part).Infof("refused; requests with this part of the prompt crash upstreams")
		return true
	}
	_, upstreams := e.crashRecords.Evaluate(now, q.computeFingerprint())
	return len(upstreams) >= quarantineThreshold
}

// recordCrash records the requests that were running at an upstream when it
// crashed. It is called when the upstream's port refuses connections.
func (e *Entry) recordCrash(now time.Time, to fleet.Upstream) {
	aborted := e.aborts.TakeAborted(now, to.ID)
	crash := to.ID + "@" + strconv.FormatInt(to.StartedAt, 10)
	var parts []retry.PartCrash
	for _, x := range aborted {
		e.crashRecords.Add(now, x.Fingerprint, to.ID)
		e.gossiper.BroadcastCrash(&wire.CrashRecord{Print: x.Fingerprint, Upstream: to.ID, Left: int64(crashRecordTTL / time.Millisecond)})
		for _, part := range x.Parts {
			parts = append(parts, retry.PartCrash{Part: part, Crash: crash, At: x.At})
		}
	}
	e.addPartCrashes(now, parts)
	if len(aborted) > 0 {
		e.log.With("upstream", to.ID).With("requests", len(aborted)).With("parts", len(parts)).Infof("upstream crashed; recorded the requests running there")
	}
}

// addPartCrashes records crashes by parts of prompts. What is new is passed on, so that
// it reaches entries whose datagram was lost or that get none from its first sender.
func (e *Entry) addPartCrashes(now time.Time, records []retry.PartCrash) {
	if len(records) == 0 {
		return
	}
	added, refuting := e.partRecords.AddCrashes(now, records)
	for _, r := range added {
		e.gossiper.BroadcastPartCrash(encodePartCrash(now, r))
		if part, ok := e.partRecords.FindQuarantined(now, []string{r.Part}); ok {
			e.log.With("part", part).With("crash", r.Crash).Warnf("requests with this part of the prompt crash upstreams; refusing them")
		}
	}
	e.broadcastSuccesses(now, refuting)
}

// recordSuccess records a whole response: the parts of its prompt crash no upstreams.
func (e *Entry) recordSuccess(now time.Time, q *request) {
	if len(q.info.Parts) > 0 {
		e.broadcastSuccesses(now, e.partRecords.AddSuccess(now, q.info.Parts))
	}
}

func (e *Entry) broadcastSuccesses(now time.Time, list []retry.PartSuccess) {
	for _, s := range list {
		e.gossiper.BroadcastPartSuccess(&wire.PartSuccess{Part: s.Part, Ago: max(0, now.Sub(s.At).Milliseconds())})
	}
}

// mergeParts merges the records of a peer.
func (e *Entry) mergeParts(now time.Time, crashes []*wire.PartCrash, successes []*wire.PartSuccess) {
	var records []retry.PartCrash
	for _, c := range crashes {
		records = append(records, retry.PartCrash{Part: c.GetPart(), Crash: c.GetCrash(), At: timeAgo(now, c.GetAgo())})
	}
	e.addPartCrashes(now, records)
	var list []retry.PartSuccess
	for _, s := range successes {
		list = append(list, retry.PartSuccess{Part: s.GetPart(), At: timeAgo(now, s.GetAgo())})
	}
	e.broadcastSuccesses(now, e.partRecords.AddSuccesses(now, list))
}

func encodePartCrash(now time.Time, r retry.PartCrash) *wire.PartCrash {
	return &wire.PartCrash{Part: r.Part, Crash: r.Crash, Ago: max(0, now.Sub(r.At).Milliseconds())}
}

func timeAgo(now time.Time, milliseconds int64) time.Time {
	return now.Add(-time.Duration(max(0, milliseconds)) * time.Millisecond)
}

// recordAbort records that the exchange of a request was aborted, and whether its response
// had begun. If it had not, or an earlier exchange of the request was aborted too, it opens
// a connection to find out whether the upstream crashed.
func (e *Entry) recordAbort(now time.Time, q *request, to fleet.Upstream, begun bool) {
	e.recordOutcome(now, to, true)
	var parts []string
	if !begun {
		parts = q.info.Parts
	}
	if repeated := e.aborts.Record(now, to.ID, q.computeFingerprint(), parts); !repeated && len(parts) == 0 {
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

// mergeCrashRecord merges the record of a peer and reports whether it is new.
func (e *Entry) mergeCrashRecord(now time.Time, record *wire.CrashRecord) bool {
	expires := now.Add(time.Duration(record.GetLeft()) * time.Millisecond)
	return len(e.crashRecords.Merge(now, []retry.CrashRecord{{Fingerprint: record.GetPrint(), Upstream: record.GetUpstream(), Expires: expires}})) > 0
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
