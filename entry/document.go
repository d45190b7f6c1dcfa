package entry

import (
	"context"
	"sync"
	"time"

	"cactustide/config"
	"cactustide/fresh"
	"cactustide/meter"
	"cactustide/store"
	"cactustide/wire"
)

const (
	// watchTimeout is how long a watch waits for a change. A call that the platform's service took
	// before it fell silent may never be answered; the entry notices only after this time and the
	// client's margin.
	watchTimeout    = 4 * time.Second
	watchRetryDelay = 500 * time.Millisecond
	// maxWatchedBytes is the size up to which the service sends the document again as a wait ends.
	maxWatchedBytes = 128 << 10
	// confirmTimeout bounds the call that asks whether the document is still the latest one, and for
	// how long a request waits for it. At most one such call begins in this time.
	confirmTimeout = 400 * time.Millisecond
)

// source says how a document reached the entry.
type source string

// Values of source.
const (
	sourceStore source = "store"
	sourceAgent source = "agent"
)

// documentCopy is what the entry knows of the document in the platform's service.
type documentCopy struct {
	// confirmation is when the service had nothing newer than the document in force.
	confirmation fresh.Confirmation
	// reading is held while the document is read because its index has changed, so that two readings
	// do not share the bandwidth.
	reading sync.Mutex

	mu sync.Mutex
	// index is that of the service at which the document was read last; 0 if it was not.
	index uint64
	size  int
	// stored is the generation that was read, and inForce is set if it is the one in force.
	stored  uint64
	inForce bool
	// downSince is since when the service has not answered; zero while it does.
	downSince time.Time
	// asking is closed when the call that confirms has ended; nil if none is made. askedAt is when the
	// last one began.
	asking  chan struct{}
	askedAt time.Time
}

func (c *documentCopy) state() (index uint64, size int, inForce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index, c.size, c.inForce
}

// recordAnswer records whether the service answered, and reports whether that has changed.
func (c *documentCopy) recordAnswer(now time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasDown := !c.downSince.IsZero()
	switch {
	case err == nil:
		c.downSince = time.Time{}
	case !wasDown:
		c.downSince = now
	}
	return wasDown != (err != nil)
}

func (e *Entry) documentKey() string { return e.settings.Prefix + wire.DocumentKey }

// watchDocument applies each newer configuration document of the platform's service.
func (e *Entry) watchDocument(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		index, _, _ := e.document.state()
		err := e.watchOnce(ctx, began)
		if ctx.Err() != nil {
			return nil
		}
		if newIndex, _, _ := e.document.state(); err == nil && newIndex > index {
			continue
		}
		// The service may have restarted, or does not wait.
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay - time.Since(began)):
		}
	}
	return nil
}

// watchOnce waits for a change of the document, for watchTimeout or for the end of ctx. The call to the
// platform cannot be cancelled: when ctx ends, it goes on in the background and its result is discarded.
func (e *Entry) watchOnce(ctx context.Context, now time.Time) error {
	result := make(chan error, 1)
	go func() { result <- e.pollDocument(ctx, now) }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pollDocument waits for a change of the document in a call that begins now. A large one is not sent
// again while nothing has changed.
func (e *Entry) pollDocument(ctx context.Context, now time.Time) error {
	index, size, _ := e.document.state()
	if index != 0 && size > maxWatchedBytes {
		newIndex, err := e.platform.Index(e.documentKey(), index, watchTimeout, store.CallTimeout)
		return e.compareIndex(ctx, now, newIndex, err)
	}
	pair, newIndex, err := e.platform.Watch(e.documentKey(), index, watchTimeout)
	e.recordPlatform(time.Now(), err)
	if err == nil {
		e.settleDocument(ctx, now, pair, newIndex)
	}
	return err
}

// compareIndex confirms the document in force if the index of the service, from a call that began at a
// time, is the one at which it was read. Otherwise it reads the document.
func (e *Entry) compareIndex(ctx context.Context, began time.Time, index uint64, err error) error {
	e.recordPlatform(time.Now(), err)
	if err != nil {
		return err
	}
	if e.confirmAt(began, index) {
		return nil
	}
	e.document.reading.Lock()
	defer e.document.reading.Unlock()
	if e.confirmAt(began, index) {
		return nil // Another call has read it.
	}
	began = time.Now()
	pair, err := e.platform.Get(e.documentKey())
	e.recordPlatform(time.Now(), err)
	if err == nil {
		e.settleDocument(ctx, began, pair, index)
	}
	return err
}

// confirmAt reports whether the document was read at an index of the service, and confirms it as of a
// time if it is in force.
func (e *Entry) confirmAt(began time.Time, index uint64) bool {
	known, _, inForce := e.document.state()
	if known == index && inForce {
		e.document.confirmation.Confirm(began)
	}
	return known == index
}

// settleDocument applies what the service had at an index, in a call that began at a time. It confirms
// the document in force only if that is the one: a service that came back from an older copy has another.
func (e *Entry) settleDocument(ctx context.Context, began time.Time, pair store.Pair, index uint64) {
	if ctx.Err() != nil {
		return
	}
	var stored *config.Document
	if pair.Version != 0 {
		stored = e.applyDocument(time.Now(), sourceStore, pair.Value)
	}
	c, current := e.document, e.config.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.stored
	c.index, c.size, c.stored, c.inForce = index, len(pair.Value), 0, false
	if stored != nil {
		c.stored = stored.Generation
		c.inForce = current.Generation == stored.Generation && current.Change == stored.Change
	}
	if c.inForce {
		c.confirmation.Confirm(began)
	} else if current != nil && c.stored != before {
		e.log.With("version", current.Generation).With("stored", c.stored).With("index", index).Warnf("the platform has another document than the one in force")
	}
}

// recordPlatform records and logs when reading the document starts to fail and when it recovers.
func (e *Entry) recordPlatform(now time.Time, err error) {
	if !e.document.recordAnswer(now, err) {
		return
	}
	if err != nil {
		e.log.Warnf("reading the configuration document failed: %v", err)
		return
	}
	e.log.Infof("platform is reachable again")
}

// applyDocument puts a document in force if it is newer, and returns it; nil if it cannot be decoded.
func (e *Entry) applyDocument(now time.Time, src source, data []byte) *config.Document {
	d, err := wire.DecodeDocument(data)
	if err != nil {
		e.log.Errorf("decoding the configuration document failed: %v", err)
		return nil
	}
	e.applying.Lock()
	adopted := e.config.Adopt(d)
	if adopted {
		idx := newConfigIndex(d)
		idx.at, idx.source = now, src
		e.configIndex.Store(idx)
	}
	e.applying.Unlock()
	if adopted {
		e.scope.Gauge("generation").Update(float64(d.Generation))
		e.log.Infof("applied configuration generation %d, preset %s", d.Generation, d.Preset)
		e.syncAll()
	}
	return d
}

// isConfirmed reports whether the entry has each document that must be in force by now.
func (e *Entry) isConfirmed(now time.Time) bool {
	age, ok := e.document.confirmation.Age(now)
	return ok && age <= fresh.ConfirmedTime(0)
}

// refresh asks the service whether the document is still the latest one if it will not count as
// confirmed for long, and waits for the answer if it does not count so now. A call that is not answered
// leaves the time for another one. All who ask share the calls.
func (e *Entry) refresh(now time.Time) {
	age, ok := e.document.confirmation.Age(now)
	if ok && age <= fresh.ConfirmedTime(0)-2*confirmTimeout {
		return
	}
	asking := e.askIndex(now)
	if asking == nil || e.isConfirmed(now) {
		return
	}
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-asking:
	case <-timer.C:
	}
}

// askIndex begins a call that confirms the document, unless one is being made. It returns a channel that
// is closed when the call has ended, or nil if the last one began just before.
func (e *Entry) askIndex(now time.Time) <-chan struct{} {
	c := e.document
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking != nil {
		return c.asking
	}
	if now.Sub(c.askedAt) < confirmTimeout {
		return nil
	}
	done := make(chan struct{})
	c.asking, c.askedAt = done, now
	go func() {
		index, err := e.platform.Index(e.documentKey(), 0, 0, confirmTimeout)
		_ = e.compareIndex(e.ending, now, index, err) // It is logged.
		c.mu.Lock()
		c.asking = nil
		c.mu.Unlock()
		close(done)
	}()
	return done
}

// withDocument calls decide with a document, and again with the one in force if decide refuses a request
// for something that the document does not have. Such a refusal holds only while the document counts as
// confirmed: a newer one may have it otherwise, and the caller may find it at another entry.
func (e *Entry) withDocument(id string, idx *configIndex, decide func(*configIndex) *APIError) *APIError {
	apiErr := decide(idx)
	if apiErr == nil || !apiErr.absent {
		return apiErr
	}
	e.refresh(time.Now())
	if current := e.configIndex.Load(); current != idx {
		idx = current
		if apiErr = decide(idx); apiErr == nil || !apiErr.absent {
			return apiErr
		}
	}
	now := time.Now()
	// The document is compared last: the confirmation may be that of one that came in between.
	if !e.isConfirmed(now) || e.configIndex.Load() != idx {
		apiErr = unconfirmedError()
	}
	e.withVersion(now, e.log, idx).With("request", id).With("status", apiErr.Status).Infof("refused: %s", apiErr.Message)
	return apiErr
}

// withVersion adds to a log line on which document a refusal rests, and why there may be a newer one that
// is not known here.
func (e *Entry) withVersion(now time.Time, logger *meter.Logger, idx *configIndex) *meter.Logger {
	c := e.document
	c.mu.Lock()
	defer c.mu.Unlock()
	logger = logger.With("version", idx.document.Generation).With("since", now.Sub(idx.at).Milliseconds()).With("source", string(idx.source)).
		With("index", c.index).With("stored", c.stored)
	if age, ok := c.confirmation.Age(now); ok {
		logger = logger.With("confirmed", age.Milliseconds())
	}
	if !c.downSince.IsZero() {
		logger = logger.With("down", now.Sub(c.downSince).Milliseconds())
	}
	return logger
}
