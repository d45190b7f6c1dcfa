package direct

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"cactustide/fleet"
	"cactustide/origin"
	"cactustide/rules"
	"cactustide/store"
	"cactustide/wire"
)

const (
	// originHolders is the number of other entries that keep the origin of a stream, and
	// originAsked the number of those that are asked for it: some of them may have started
	// since.
	originHolders = 3
	originAsked   = 5
	// originTimeout bounds the wait for their answers.
	originTimeout = 150 * time.Millisecond
	// streamTimeouts is the time after its begin in which a stream is taken up, in timeouts of
	// its route: callers give up earlier.
	streamTimeouts = 3
	// freshCopy is the age up to which the copy of the registrations counts as one without a gap.
	freshCopy = 2 * time.Second
	// recordPrefix is that of the keys in the store with the releases of each service.
	recordPrefix = "releases/"
	// recordTimeout bounds a call to the store about a record, recordInterval is the time
	// between two looks at what has to be recorded, and recordPause that after a failure.
	recordTimeout  = 400 * time.Millisecond
	recordInterval = 300 * time.Millisecond
	recordPause    = time.Second
	// confirmTimeout bounds the calls that bring the copies up to date for streams that are taken
	// up. readPause is the time between two such calls, and between two readings of a record.
	confirmTimeout = 400 * time.Millisecond
	readPause      = 200 * time.Millisecond
	// deputyDelay is after which another entry that watches the store adds a release to a record in
	// place of the one that keeps it, which may not reach the store.
	deputyDelay = time.Second
	// minRecordTime is the shortest time for which a release stays in the record after its last
	// upstream has left.
	minRecordTime = time.Minute
)

// originSource says how the origin of a stream is known.
type originSource string

// Values of originSource.
const (
	originOwn originSource = "own"
	// originPeer: another entry kept it.
	originPeer originSource = "peer"
	// originSole: only one release was in service for as long as the stream may last.
	originSole originSource = "sole"
	// originRecord: the same, by the record in the store.
	originRecord  originSource = "record"
	originUnknown originSource = "unknown"
)

// originTracker is what an entry knows of the origins of streams.
type originTracker struct {
	table    *origin.Table
	releases *origin.Releases

	mu sync.Mutex
	// ring has the other entries that are alive, and watcherRing those that watch the store, of
	// the version of the members that ringVersion is.
	ring, watcherRing *origin.Ring
	ringVersion       uint64
	// asked holds the lookups that wait for answers, by their number.
	asked map[uint64]chan *wire.Stream
	// reads are the records that were read for streams that were taken up, by service.
	reads map[string]*recordRead
	// observed is the position, by prefix, up to which each change was looked at. The copy may be
	// further: peers bring it on without what was replaced meanwhile.
	observed []store.Position
	// confirmation is the last one.
	confirmation confirmation
	// reading is set, by prefix, while a confirmation's call goes on; it may outlast its time.
	reading []atomic.Bool
	routes  routeHistory
}

// recordRead is the last reading of a record, and began when it began.
type recordRead struct {
	mu     sync.Mutex
	began  time.Time
	record origin.Record
	ok     bool
}

// confirmation is a reading of all changes that the store had when it began.
type confirmation struct {
	mu    sync.Mutex
	began time.Time
	ok    bool
}

func newOriginTracker(now time.Time, first bool, prefixes int) *originTracker {
	return &originTracker{
		table: origin.NewTable(), releases: origin.NewReleases(now, first), observed: make([]store.Position, prefixes), reading: make([]atomic.Bool, prefixes),
		asked: map[uint64]chan *wire.Stream{}, reads: map[string]*recordRead{},
	}
}

// takesUp reports whether a request goes on with a stream that broke off.
func (q *request) takesUp() bool { return q.route.Resumable && q.info.LastEventID != "" }

// admits reports whether an upstream may run the request: one that goes on with a stream runs at
// the release that began it.
func (q *request) admits(e *Entry, u fleet.Upstream) bool {
	if !q.hasOrigin {
		return true
	}
	release := e.fleet.ReleaseOf(u)
	return release != "" && release == q.origin.Release && u.Service == q.origin.Service
}

// streamWindow is the time within which the stream of a request must have begun.
func (q *request) streamWindow() time.Duration { return streamTimeouts * q.route.Timeout }

// keepOrigin keeps which release begins the stream of a request, here and at some other entries.
// It is called before the caller gets the first event.
func (e *Entry) keepOrigin(now time.Time, q *request, to fleet.Upstream) {
	if q.hasOrigin || !q.route.Resumable {
		return
	}
	q.origin, q.hasOrigin = origin.Origin{Service: to.Service, Release: e.fleet.ReleaseOf(to)}, true
	key := origin.Key(q.owner.Team, q.info.ID)
	others, _ := e.memberRings(now)
	e.origins.table.Put(now, key, q.origin)
	e.origins.releases.Observe(now, to.Service, q.origin.Release)
	e.gossiper.SendStream(encodeStream(key, q.origin), others.Holders(key, originHolders)...)
}

func encodeStream(key uint64, o origin.Origin) *wire.Stream {
	return &wire.Stream{Key: key, Service: o.Service, Release: o.Release}
}

func decodeStream(s *wire.Stream) origin.Origin {
	return origin.Origin{Service: s.GetService(), Release: s.GetRelease()}
}

// memberRings returns the rings of the other entries that are alive, and of those that watch the
// store. They change with the members only.
func (e *Entry) memberRings(now time.Time) (others, watchers *origin.Ring) {
	members := e.gossiper.Members()
	version := members.Version()
	o := e.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ring == nil || o.ringVersion != version {
		self := e.settings.Load().Peer
		alive := members.Alive(now)
		var addresses []string
		for _, m := range alive {
			if m.Address != self {
				addresses = append(addresses, m.Address)
			}
		}
		o.ring, o.watcherRing, o.ringVersion = origin.NewRing(addresses), origin.NewRing(chooseWatchers(alive)), version
	}
	return o.ring, o.watcherRing
}

// findOrigin finds out which release began the stream that a request goes on with. It reports
// false if that is not known: then the stream must not go on.
func (e *Entry) findOrigin(ctx context.Context, now time.Time, q *request) bool {
	found, source := e.lookUpOrigin(ctx, now, q)
	if found.Release == "" {
		source = originUnknown
	}
	e.scope.Tagged(map[string]string{"source": string(source)}).Counter("origins").Inc(1)
	q.log.With("request", q.info.ID).With("resumes", q.info.Resumes).With("last", q.info.LastEventID).With("release", found.Release).
		With("source", string(source)).With("copy", e.copyAge(now).Milliseconds()).With("complete", e.origins.releases.CompleteFor(now).Milliseconds()).
		With("ms", time.Since(now).Milliseconds()).Infof("request goes on with a stream")
	q.origin, q.hasOrigin = found, true
	return source != originUnknown
}

// useOriginService makes the service that began the stream run the request, if the route leads
// there: another one may have been picked by the id of this attempt.
func (e *Entry) useOriginService(q *request) {
	table := e.rules.Get()
	for _, w := range q.route.Split {
		if w.Service == q.origin.Service && w.Weight > 0 && table != nil {
			if s := table.FindService(w.Service); s != nil {
				q.setService(s)
			}
		}
	}
}

func (e *Entry) lookUpOrigin(ctx context.Context, now time.Time, q *request) (origin.Origin, originSource) {
	if q.info.Resumes != "" {
		key := origin.Key(q.owner.Team, q.info.Resumes)
		if found, ok := e.origins.table.Find(now, key); ok {
			return found, originOwn
		}
		if found, ok := e.askOrigin(ctx, now, key); ok {
			e.origins.table.Put(now, key, found)
			return found, originPeer
		}
	}
	release, source := e.soleRelease(now, q)
	return origin.Origin{Service: q.service.Name, Release: release}, source
}

// askOrigin asks other entries for the origin of a stream.
func (e *Entry) askOrigin(ctx context.Context, now time.Time, key uint64) (origin.Origin, bool) {
	others, _ := e.memberRings(now)
	holders := others.Holders(key, originAsked)
	if len(holders) == 0 {
		return origin.Origin{}, false
	}
	number := rand.Uint64()
	answers := make(chan *wire.Stream, len(holders))
	e.origins.mu.Lock()
	e.origins.asked[number] = answers
	e.origins.mu.Unlock()
	defer func() {
		e.origins.mu.Lock()
		delete(e.origins.asked, number)
		e.origins.mu.Unlock()
	}()
	e.gossiper.SendStreamAsk(&wire.StreamAsk{Key: key, Number: number}, holders...)
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for range holders {
		select {
		case s := <-answers:
			if s != nil && s.GetKey() == key {
				return decodeStream(s), true
			}
		case <-timeout.C:
			return origin.Origin{}, false
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
	return origin.Origin{}, false
}

// handleStreams applies what a peer says of the origins of streams.
func (e *Entry) handleStreams(now time.Time, msg *wire.Gossip) {
	for _, s := range msg.GetStreams() {
		e.origins.table.Put(now, s.GetKey(), decodeStream(s))
	}
	for _, ask := range msg.GetWants() {
		answer := &wire.StreamAnswer{Number: ask.GetNumber()}
		if found, ok := e.origins.table.Find(now, ask.GetKey()); ok {
			answer.Stream = encodeStream(ask.GetKey(), found)
		}
		if msg.GetAddress() != "" {
			e.gossiper.SendStreamAnswer(msg.GetAddress(), answer)
		}
	}
	for _, answer := range msg.GetTells() {
		e.origins.mu.Lock()
		answers := e.origins.asked[answer.GetNumber()]
		e.origins.mu.Unlock()
		select {
		case answers <- answer.GetStream():
		default: // The lookup has ended, or has all its answers.
		}
	}
}

// soleRelease returns the release that began a stream of which nobody kept the origin, if only one
// was in service for as long as the stream may have lasted. That there was no other one must hold
// when the stream is taken up: whatever began it was registered before.
func (e *Entry) soleRelease(now time.Time, q *request) (string, originSource) {
	if !e.confirmCopies(now) {
		return "", originUnknown
	}
	// The path may have had another route as the stream began, or its route another timeout.
	path, _, _ := strings.Cut(q.target, "?")
	services, window, ok := e.origins.routes.begun(now, q.host, path)
	if !ok {
		return "", originUnknown
	}
	window = max(window, q.streamWindow())
	// A stream of a route that leads, or has led, to several services may be another one's.
	ofRoute, _ := e.origins.releases.Within(now, routeKey(q.route), window)
	if only, ok := origin.Sole(slices.Concat(services, ofRoute)); !ok || only != q.service.Name {
		return "", originUnknown
	}
	seen, complete := e.origins.releases.Within(now, q.service.Name, window)
	if complete {
		release, _ := origin.Sole(seen)
		return release, originSole
	}
	if e.origins.releases.Returned(now, window) || e.origins.releases.Listed(now, window) && e.keepsRecord(now, q.service.Name) {
		return "", originUnknown // The record may lack the releases that came shortly before.
	}
	record, ok := e.readRecord(now, q.service.Name)
	if !ok || !e.origins.releases.Covers(now, record, window) {
		return "", originUnknown
	}
	release, _ := origin.Sole(slices.Concat(seen, record.Releases))
	return release, originRecord
}

// confirmCopies makes the copies of the registrations and of the configuration complete as of a
// time that has passed, and reports whether it could. All who wait share the calls to the store.
func (e *Entry) confirmCopies(asked time.Time) bool {
	if e.store == nil {
		return false
	}
	c := &e.origins.confirmation
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.began.IsZero() && !c.began.Before(asked) {
		return c.ok
	}
	if !c.began.IsZero() {
		sleepContext(e.ending, readPause-time.Since(c.began))
	}
	began := time.Now()
	c.began, c.ok = began, true
	ctx, cancel := context.WithTimeout(e.ending, confirmTimeout)
	defer cancel()
	failures := make([]error, len(e.itemCaches))
	var calls sync.WaitGroup
	for i := range e.itemCaches {
		if !e.origins.reading[i].CompareAndSwap(false, true) {
			// Another one would take its part of the bandwidth and delay both.
			failures[i] = &Error{Op: "read " + e.codec.Prefixes[i], Kind: KindBehind, Err: errs.New("an earlier reading goes on")}
			continue
		}
		calls.Go(func() {
			failures[i] = e.callWithContext(ctx, func() error {
				defer e.origins.reading[i].Store(false)
				return e.readChanges(began, i)
			})
		})
	}
	calls.Wait()
	for i, err := range failures {
		if err != nil {
			c.ok = false
			e.log.With("prefix", e.codec.Prefixes[i]).Warnf("cannot bring the copy up to date for streams that are taken up: %v", err)
		}
	}
	e.observeServing(time.Now())
	return c.ok
}

// beginReading returns the position from which the changes under a prefix are read, so that each is
// looked at. An entry that relies on others reads on from its copy, and records what that skips as a gap.
func (e *Entry) beginReading(now time.Time, prefix int) store.Position {
	position, _ := e.itemCaches[prefix].state()
	watcher, _ := e.watchRole(now)
	o := e.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	if seen := o.observed[prefix]; !watcher && seen.Before(position) {
		o.observed[prefix] = position
		if !seen.IsZero() {
			o.releases.RecordSkip(now)
		}
	}
	return o.observed[prefix]
}

// recordObserved records that all changes from one position to another were looked at.
func (e *Entry) recordObserved(prefix int, after, position store.Position) {
	o := e.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	if seen := o.observed[prefix]; !seen.Before(after) && seen.Era == position.Era {
		o.observed[prefix] = store.Later(seen, position)
	}
}

// recordListing records that all items were read, but not which ones came and left before.
// returned is set if the store came back from an older copy.
func (e *Entry) recordListing(now time.Time, prefix int, src source, position store.Position, returned bool) {
	o := e.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.observed[prefix]
	if src == sourceList {
		o.observed[prefix] = store.Later(seen, position)
	}
	if returned || src == sourceList && !seen.IsZero() {
		o.releases.RecordListing(now, returned)
	}
}

// routeKey names a route among the services whose releases are observed: the services that it
// leads to are observed in the same way.
func routeKey(r *rules.Route) string { return "route " + r.Host + r.Prefix }

// readRecord returns the record of a service, read from the store after a time that has passed.
func (e *Entry) readRecord(asked time.Time, service string) (origin.Record, bool) {
	if e.store == nil || e.store.Get == nil {
		return origin.Record{}, false
	}
	e.origins.mu.Lock()
	read := e.origins.reads[service]
	if read == nil {
		read = &recordRead{}
		e.origins.reads[service] = read
	}
	e.origins.mu.Unlock()
	read.mu.Lock()
	defer read.mu.Unlock()
	if !read.began.IsZero() && !read.began.Before(asked) {
		return read.record, read.ok
	}
	if !read.began.IsZero() {
		sleepContext(e.ending, readPause-time.Since(read.began))
	}
	read.began, read.ok = time.Now(), false
	item, found, _, err := e.store.Get(recordPrefix+service, recordTimeout)
	if err != nil {
		e.log.With("service", service).Warnf("cannot read the record of releases: %v", err)
		return origin.Record{}, false
	}
	if found {
		if read.record, err = decodeRecord(item.Value); err != nil {
			e.log.With("service", service).Warnf("cannot decode the record of releases: %v", err)
			return origin.Record{}, false
		}
		read.ok = true
	}
	return read.record, read.ok
}

func encodeRecord(r origin.Record) ([]byte, error) {
	out := &wire.ReleaseRecord{Releases: r.Releases}
	if !r.Since.IsZero() {
		out.Since = r.Since.UnixMilli()
	}
	return protojson.Marshal(out)
}

func decodeRecord(data []byte) (origin.Record, error) {
	in := &wire.ReleaseRecord{}
	if err := protojson.Unmarshal(data, in); err != nil {
		return origin.Record{}, err
	}
	r := origin.Record{Releases: in.GetReleases()}
	if in.GetSince() != 0 {
		r.Since = time.UnixMilli(in.GetSince())
	}
	return r, nil
}

// observeReleases records which releases and routes are in service, and whether the entry sees all
// registrations.
func (e *Entry) observeReleases(now time.Time) {
	e.observeServing(now)
	e.origins.mu.Lock()
	complete := !slices.ContainsFunc(e.origins.observed, store.Position.IsZero)
	e.origins.mu.Unlock()
	e.origins.releases.SetComplete(now, complete && e.copyAge(now) <= freshCopy)
	e.origins.releases.Expire(now)
	e.origins.table.Expire(now)
}

// observeServing records which releases and routes are in service.
func (e *Entry) observeServing(now time.Time) {
	for _, s := range e.fleet.Releases() {
		e.origins.releases.Observe(now, s.Service, s.Release)
	}
	if t := e.rules.Get(); t != nil {
		e.observeRoutes(now, t.Document)
	}
}

// observeRoutes records to which services the routes lead whose streams may be resumed.
func (e *Entry) observeRoutes(now time.Time, d *rules.Document) {
	for i := range d.Routes {
		r := &d.Routes[i]
		if !r.Resumable {
			continue
		}
		for _, w := range r.Split {
			e.origins.releases.Observe(now, routeKey(r), w.Service)
		}
	}
}

// observeUpstream records that the release with which an upstream is registered was in service
// until now.
func (e *Entry) observeUpstream(now time.Time, id string) {
	if u, ok := e.fleet.Find(id); ok {
		e.origins.releases.Observe(now, u.Service, u.Release)
	}
}

// observeItem records what an item that was replaced since had brought into service.
func (e *Entry) observeItem(now time.Time, item store.Item) {
	c, err := e.codec.Decode(item)
	switch {
	case err != nil: // It names no upstream to use.
	case c.Document != nil:
		e.observeRoutes(now, c.Document)
	case c.Upstream != nil:
		e.origins.releases.Observe(now, c.Upstream.Service, c.Upstream.Release)
	}
}

// keptRecord is the record of a service as this entry last read or wrote it.
type keptRecord struct {
	record   origin.Record
	position store.Position
}

// keepRecords keeps the records of the services for which this entry does that, until ctx ends.
func (e *Entry) keepRecords(ctx context.Context) error {
	if e.store == nil || e.store.Swap == nil {
		return nil
	}
	kept := map[string]*keptRecord{}
	lackingSince := map[string]time.Time{}
	pausedUntil := time.Time{}
	for ctx.Err() == nil {
		sleepContext(ctx, recordInterval)
		now := time.Now()
		if e.stopping.Load() || now.Before(pausedUntil) || now.Sub(e.createdAt) < joinPeriod || e.copyAge(now) > freshCopy {
			continue
		}
		for service, timeout := range e.recordedServices() {
			keep, keeper := max(minRecordTime, streamTimeouts*timeout), e.keepsRecord(now, service)
			if !keeper {
				watcher, _ := e.watchRole(now)
				if !watcher || !e.lacksRelease(now, service, keep, kept[service]) {
					delete(lackingSince, service)
					continue
				}
				if since, ok := lackingSince[service]; !ok || now.Sub(since) < deputyDelay {
					if !ok {
						lackingSince[service] = now
					}
					continue
				}
				lackingSince[service], kept[service] = now, nil // The keeper may have written it since.
			}
			known := kept[service]
			var next *keptRecord
			err := e.callWithContext(ctx, func() (err error) {
				next, err = e.updateRecord(now, service, keep, keeper, known)
				return err
			})
			if ctx.Err() != nil {
				return nil // The call may go on.
			}
			if err != nil {
				e.log.With("service", service).Warnf("cannot keep the record of releases: %v", err)
				pausedUntil = now.Add(recordPause)
			}
			kept[service] = next
		}
	}
	return nil
}

// recordedServices returns the services of the routes whose streams may be resumed, with the
// longest timeout of these routes.
func (e *Entry) recordedServices() map[string]time.Duration {
	services := map[string]time.Duration{}
	t := e.rules.Get()
	if t == nil {
		return services
	}
	for _, r := range t.Document.Routes {
		for _, w := range r.Split {
			if r.Resumable {
				services[w.Service] = max(services[w.Service], r.Timeout)
			}
		}
	}
	return services
}

// keepsRecord reports whether this entry keeps the record of a service: one of those that watch the
// store does, as they see each change.
// While two do, as their views of the members differ, the condition of each write keeps both right.
func (e *Entry) keepsRecord(now time.Time, service string) bool {
	_, watchers := e.memberRings(now)
	return slices.Contains(watchers.Holders(xxhash.Sum64String(service), 1), e.settings.Load().Peer)
}

// lacksRelease reports whether a record, as last read or written by this entry, lacks a release that was
// in service within a time.
func (e *Entry) lacksRelease(now time.Time, service string, keep time.Duration, known *keptRecord) bool {
	recent, _ := e.origins.releases.Within(now, service, keep)
	if known == nil || known.position.Era < e.storeEra.Load() {
		return len(recent) > 0
	}
	return slices.ContainsFunc(recent, func(release string) bool { return !slices.Contains(known.record.Releases, release) })
}

// updateRecord reads the record of a service unless it is known, and writes it if it lacks a
// release. The entry that keeps it also begins it, and drops a release that left longer than keep ago;
// others only add to it. It returns what is known of it then; nil if it has to be read again.
func (e *Entry) updateRecord(now time.Time, service string, keep time.Duration, keeper bool, known *keptRecord) (*keptRecord, error) {
	if known == nil || known.position.Era < e.storeEra.Load() {
		item, found, position, err := e.store.Get(recordPrefix+service, recordTimeout)
		if err != nil {
			return nil, err
		}
		known = &keptRecord{position: store.Position{Era: position.Era}}
		if found {
			known.position = item.Position
			if known.record, err = decodeRecord(item.Value); err != nil {
				e.log.With("service", service).Warnf("cannot decode the record of releases; writing it anew: %v", err)
				found = false
			}
		}
		if !found {
			var complete bool
			if known.record, complete = e.origins.releases.Begin(); !complete || !keeper {
				return nil, nil
			}
		}
	}
	recent, complete := e.origins.releases.Within(now, service, keep)
	next := known.record.Update(recent, complete && keeper)
	if keeper {
		next = e.origins.releases.Continue(next)
	}
	if next.Equal(known.record) || len(next.Releases) == 0 {
		return known, nil
	}
	data, err := encodeRecord(next)
	if err != nil {
		return nil, err
	}
	position, written, err := e.store.Swap(recordPrefix+service, data, known.position, recordTimeout)
	if err != nil || !written || position.Era != known.position.Era {
		return nil, err
	}
	e.log.With("service", service).With("releases", next.Releases).With("revision", position.Revision).Infof("recorded the releases in service")
	return &keptRecord{record: next, position: position}, nil
}
