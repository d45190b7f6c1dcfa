package direct

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
	"cactustide/member"
	"cactustide/retry"
	"cactustide/wire"
)

const (
	// quarantineRetryAfter is the Retry-After of a request that crashed upstreams.
	quarantineRetryAfter = 10 * time.Second
	// minLoggedCrashes is the number of crashes from which a part that is not refused is
	// logged, maxLoggedParts the number of parts that are logged for one crash.
	minLoggedCrashes = 3
	maxLoggedParts   = 8
)

// computeFingerprint returns the hash of the method, target, team and body, by
// which a retry of the request is recognized.
func (q *request) computeFingerprint() uint64 {
	if q.fingerprint == 0 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(q.method + " " + q.target + "\n" + q.owner.Team + "\n") // xxhash never returns an error.
		for _, segment := range q.body.segments {
			_, _ = d.Write(segment)
		}
		q.fingerprint = d.Sum64()
	}
	return q.fingerprint
}

// encodeFingerprint returns a fingerprint as the subject of evidence.
func encodeFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// isQuarantined reports whether the request, or requests with a part of its prompt, crash
// upstreams.
func (e *Entry) isQuarantined(now time.Time, q *request) bool {
	if parts, ok := e.partEvidence.FindQuarantined(now, q.info.Parts...); ok {
		q.log.With("request", q.info.ID).With("part", strings.Join(parts, ",")).Infof("refused; requests with this part of the prompt crash upstreams")
		return true
	}
	subject := encodeFingerprint(q.computeFingerprint())
	_, ok := e.requestEvidence.FindQuarantined(now, subject)
	if ok {
		crashes, _ := e.requestEvidence.Count(subject)
		q.log.With("request", q.info.ID).With("print", subject).With("crashes", crashes).Infof("refused; this request crashes upstreams")
	}
	return ok
}

// trackRun records that an upstream begins to run the request, and returns what is to be called
// once it does not run it any more.
func (e *Entry) trackRun(now time.Time, q *request) func() {
	subject := encodeFingerprint(q.computeFingerprint())
	e.requestEvidence.Begin(now, subject)
	return func() { e.requestEvidence.End(now, subject) }
}

// recordCrash records the requests that were running at an upstream when it
// crashed. It is called when the upstream's port refuses connections.
func (e *Entry) recordCrash(now time.Time, to fleet.Upstream) {
	aborted := e.aborts.TakeAborted(now, to.ID)
	if len(aborted) == 0 {
		return
	}
	var requests, parts []retry.Crash
	byProcess := map[string][]retry.Abort{}
	begun := 0
	for _, x := range aborted {
		upstream := to.ID + "@" + strconv.FormatInt(x.StartedAt, 10)
		requests = append(requests, retry.Crash{Subject: encodeFingerprint(x.Fingerprint), Upstream: upstream, Began: x.Began, At: x.At})
		byProcess[upstream] = append(byProcess[upstream], x)
		if !x.Responded.IsZero() {
			begun++
		}
	}
	for upstream, list := range byProcess {
		parts = append(parts, retry.CrashesOfParts(upstream, list)...)
	}
	e.log.With("upstream", to.ID).With("requests", len(requests)).With("begun", begun).With("parts", len(parts)).Infof("upstream crashed; recorded the requests running there")
	e.scope.Counter("crashes").Inc(1)
	e.addRequestCrashes(now, requests, true)
	e.addPartCrashes(now, parts, true)
}

// addRequestCrashes records crashes by whole requests. Those that the entry found itself are
// passed on; so are those of peers where not all entries hear each other, and where the
// request is not suspected for the first time.
func (e *Entry) addRequestCrashes(now time.Time, crashes []retry.Crash, own bool) {
	if len(crashes) == 0 {
		return
	}
	added, refuting := e.requestEvidence.AddCrashes(now, crashes)
	spread := own || e.gossiper.AliveCount(now) > member.Fanout+1
	for _, c := range added {
		n, _ := e.requestEvidence.Count(c.Subject)
		if spread || n > 1 {
			e.gossiper.BroadcastCrash(encodeCrash(now, c, true))
		}
		if n > 1 {
			e.log.With("print", c.Subject).With("upstream", c.Upstream).With("crashes", n).With("own", own).Warnf("upstreams crash while they run this request")
		}
	}
	e.broadcastSuccesses(now, refuting, true)
}

// addPartCrashes records crashes by parts of prompts. What is new is passed on, so that
// it reaches entries whose datagram was lost or that get none from its first sender; so is
// all that the entry found itself, as peers that know of the crash had other requests there.
func (e *Entry) addPartCrashes(now time.Time, crashes []retry.Crash, own bool) {
	if len(crashes) == 0 {
		return
	}
	added, refuting := e.partEvidence.AddCrashes(now, crashes)
	if own {
		for _, c := range e.partEvidence.EarlierCrashes(added) {
			e.gossiper.BroadcastCrash(encodeCrash(now, c, false))
		}
	}
	for i, c := range added {
		if own || !c.Known {
			e.gossiper.BroadcastCrash(encodeCrash(now, c, false))
		}
		if i >= maxLoggedParts {
			continue
		}
		group, ok := e.partEvidence.Quarantine(now, c.Subject)
		n, requests := e.partEvidence.Count(c.Subject)
		logger := e.log.With("part", c.Subject).With("crash", c.Upstream).With("crashes", n).With("requests", requests)
		if ok {
			logger.With("together", strings.Join(group, ",")).Warnf("requests with this part of the prompt crash upstreams; refusing them")
		} else if n >= minLoggedCrashes && !c.Known {
			logger.Infof("this part of the prompt was there at several crashes; another one explains them, or they do not suffice")
		}
	}
	e.broadcastSuccesses(now, refuting, false)
}

// recordRun records that an upstream ran the request to the end of its response: the request
// does not crash upstreams. A response that ends with its connection shows no such thing.
func (e *Entry) recordRun(now time.Time, q *request, x *exchange) {
	if isUnframed(x.resp) {
		return
	}
	e.broadcastSuccesses(now, e.requestEvidence.AddSuccess(now, []string{encodeFingerprint(q.computeFingerprint())}), true)
}

// recordSuccess records a whole successful response: the parts of its prompt crash no
// upstreams either.
func (e *Entry) recordSuccess(now time.Time, q *request, x *exchange) {
	e.recordRun(now, q, x)
	if len(q.info.Parts) > 0 {
		e.broadcastSuccesses(now, e.partEvidence.AddSuccess(now, q.info.Parts), false)
	}
}

func (e *Entry) broadcastSuccesses(now time.Time, list []retry.Success, whole bool) {
	for _, s := range list {
		e.gossiper.BroadcastSuccess(&wire.Success{Subject: s.Subject, Ago: max(0, now.Sub(s.At).Milliseconds()), Whole: whole})
	}
}

// mergeEvidence merges what a peer knows about requests and parts that crash upstreams.
func (e *Entry) mergeEvidence(now time.Time, crashes []*wire.Crash, successes []*wire.Success) {
	var requests, parts []retry.Crash
	for _, c := range crashes {
		at := timeAgo(now, c.GetAgo())
		crash := retry.Crash{
			Subject: c.GetSubject(), Upstream: c.GetUpstream(), Began: timeAgo(at, c.GetRan()), At: at,
			Requests: retry.RequestSet(c.GetRequests()), Late: c.GetLate(),
		}
		if c.GetWhole() {
			requests = append(requests, crash)
		} else {
			parts = append(parts, crash)
		}
	}
	e.addRequestCrashes(now, requests, false)
	e.addPartCrashes(now, parts, false)
	for _, s := range successes {
		success := []retry.Success{{Subject: s.GetSubject(), At: timeAgo(now, s.GetAgo())}}
		if s.GetWhole() {
			e.broadcastSuccesses(now, e.requestEvidence.AddSuccesses(now, success), true)
		} else {
			e.broadcastSuccesses(now, e.partEvidence.AddSuccesses(now, success), false)
		}
	}
}

// encodeEvidence returns the crashes that are known, for a peer that has just started.
func (e *Entry) encodeEvidence(now time.Time) []*wire.Crash {
	var list []*wire.Crash
	for _, c := range e.requestEvidence.Crashes(now) {
		list = append(list, encodeCrash(now, c, true))
	}
	for _, c := range e.partEvidence.Crashes(now) {
		list = append(list, encodeCrash(now, c, false))
	}
	return list
}

func encodeCrash(now time.Time, c retry.Crash, whole bool) *wire.Crash {
	return &wire.Crash{
		Subject: c.Subject, Upstream: c.Upstream, Ago: max(0, now.Sub(c.At).Milliseconds()), Ran: max(0, c.At.Sub(c.Began).Milliseconds()), Whole: whole,
		Requests: uint64(c.Requests), Late: c.Late,
	}
}

func timeAgo(now time.Time, milliseconds int64) time.Time {
	return now.Add(-time.Duration(max(0, milliseconds)) * time.Millisecond)
}

// recordAbort records that the exchange of a request was aborted, and when its response had
// begun; zero if it had not. It opens a connection to find out whether the upstream crashed,
// unless one is being opened.
func (e *Entry) recordAbort(now time.Time, q *request, to fleet.Upstream, responded time.Time) {
	e.recordOutcome(now, to, true)
	e.aborts.Record(now, to.ID, retry.Abort{
		Began: q.sentAt, Responded: responded, StartedAt: to.StartedAt,
		Fingerprint: q.computeFingerprint(), Request: xxhash.Sum64String(q.info.ID), Parts: q.info.Parts,
	})
	if _, probing := e.probing.LoadOrStore(to.ID, true); probing {
		return
	}
	limit := e.connLimit(q)
	e.group.Go(func() error {
		return e.callWithContext(e.ending, func() error {
			c, err := e.pool.Open(to.Address, limit)
			e.probing.Delete(to.ID)
			if err == nil {
				e.pool.Put(time.Now(), c, defaultIdleTimeout)
			} else if isConnRefused(err) {
				e.ban(time.Now(), to, err)
			}
			return nil
		})
	})
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
