package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"cactustide/conn"
	"cactustide/place"
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyHead copies an upstream's status and headers to the caller. A negative length
// means that it is unknown.
func (e *Entry) copyHead(w http.ResponseWriter, x *exchange, length int) {
	h := x.resp.Header.Clone()
	removeHopByHop(h, e.headers.EndToEnd)
	h.Del("Content-Length")
	out := w.Header()
	for name, values := range h {
		out[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // Disables content sniffing by net/http.
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(x.resp.StatusCode)
}

// forwardResponse forwards a response that is not an event stream and reports whether the
// request is finished.
func (e *Entry) forwardResponse(ctx context.Context, w http.ResponseWriter, q *request, state *forwardState, x *exchange, inFlight *place.InFlightRequest) bool {
	responded := time.Now()
	inFlight.RecordEvent(responded)
	data, complete, err := x.bufferBody()
	defer x.releaseBody()
	if err != nil {
		x.abort()
		return e.handleFailure(ctx, w, q, &forwardState{tried: state.tried, executed: state.executed - 1}, x.to, &failure{err: err, sent: true})
	}
	if x.resp.StatusCode < http.StatusInternalServerError {
		e.recordOutcome(time.Now(), x.to, false)
	}
	if complete {
		if x.resp.StatusCode == http.StatusOK {
			e.recordSuccess(time.Now(), q, x)
		} else {
			e.recordRun(time.Now(), q, x)
		}
		x.finish()
		e.copyHead(w, x, len(data))
		_, err = w.Write(data)
		e.logResult(q, x.resp.StatusCode, "answered", err)
		return true
	}
	e.copyHead(w, x, int(x.resp.ContentLength))
	rest := &bodyReader{reader: x.resp.Body}
	_, err = w.Write(data)
	if err == nil {
		_, err = io.Copy(w, rest)
	}
	if err != nil {
		x.abort()
		if rest.err != nil && ctx.Err() == nil {
			e.recordAbort(time.Now(), q, x.to, responded)
		}
		e.logResult(q, x.resp.StatusCode, "broken off", err)
		breakOff(q)
	}
	x.finish()
	e.recordRun(time.Now(), q, x)
	e.logResult(q, x.resp.StatusCode, "answered", nil)
	return true
}

// bodyReader keeps the error of reading a body, to tell it from one of writing it on.
type bodyReader struct {
	reader io.Reader
	err    error
}

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

var (
	errNotEvent   = errs.New("bytes that are no event in a stream")
	errNotResumed = errs.New("upstream did not go on after the last event")
	errNoMemory   = errs.New("no memory for a large event")
)

// eventReader reads the events of a text/event-stream.
type eventReader struct {
	reader *bufio.Reader
	// partial is the event being read.
	partial []byte
	// memory is that of all responses; reserved bytes of it are for a large event.
	memory   *memoryLimiter
	reserved int64
}

const (
	// maxEventBytes bounds the size of an event, bytes.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which an event needs no reserved memory, bytes.
	freeEventBytes = 16 << 10
)

// grow makes room for n more bytes, and reports whether there is memory for them.
func (r *eventReader) grow(n int) bool {
	need := len(r.partial) + n
	if need <= freeEventBytes || need <= cap(r.partial) {
		return true
	}
	size := min(max(need, 2*cap(r.partial)), max(need, maxEventBytes))
	more := int64(size) - r.reserved
	if !r.memory.reserve(more, more, more) {
		return false
	}
	r.reserved += more
	larger := make([]byte, len(r.partial), size)
	copy(larger, r.partial)
	r.partial = larger
	return true
}

// release gives the memory of a large event back.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.memory.release(r.reserved)
		r.partial, r.reserved = nil, 0
	}
}

// next returns the next complete event, including the empty line that ends it. The
// result is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.release()
	r.partial = r.partial[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		if !r.grow(len(line)) {
			return nil, errNoMemory
		}
		r.partial = append(r.partial, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(r.partial) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return r.partial, nil
		}
	}
}

// hasBufferedEvent reports whether a complete event is in the buffer, so that next
// does not block.
func (r *eventReader) hasBufferedEvent() bool {
	buffered, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// isEvent reports whether a block of lines is an event of a stream and not, say, the head
// of an error that an upstream wrote into it: each line is a comment, or a field whose name
// is in lowercase.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, found := bytes.Cut(line, []byte(":"))
		if len(line) == 0 || found && len(name) == 0 {
			continue
		}
		if !found && !bytes.Equal(line, []byte("data")) && !bytes.Equal(line, []byte("id")) {
			return false
		}
		for _, c := range name {
			if (c < 'a' || c > 'z') && c != '-' && c != '_' {
				return false
			}
		}
	}
	return true
}

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// forwardStream forwards a stream event by event and reports whether the request is
// finished.
func (e *Entry) forwardStream(ctx context.Context, w http.ResponseWriter, q *request, state *forwardState, x *exchange, inFlight *place.InFlightRequest) bool {
	s := &eventReader{reader: bufio.NewReaderSize(x.resp.Body, 4<<10), memory: &e.responseMemory}
	defer s.release()
	flush := http.NewResponseController(w)
	count := 0
	var responded time.Time
	resumed := state.responseStarted
	for {
		event, err := s.next()
		now := time.Now()
		if err == io.EOF && len(s.partial) == 0 && count == 0 && (isUnframed(x.resp) || resumed) {
			// Neither the end of a connection nor an upstream that adds nothing to a
			// stream that broke off shows that the stream is complete.
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF && len(s.partial) == 0 {
			return e.endStream(w, q, state, x, count)
		}
		if err == nil && !isEvent(event) {
			err = errNotEvent
		}
		id := ""
		if err == nil {
			id = eventID(event)
			if resumed && count == 0 && !state.continues(id) {
				err = errNotResumed
			}
		}
		if err != nil {
			return e.handleStreamError(ctx, w, q, state, x, count, responded, err)
		}
		inFlight.RecordEvent(now)
		if responded.IsZero() {
			responded = now
		}
		if !isNewer(state.lastEventID, id) {
			q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("last", state.lastEventID).With("event", id).Warnf("dropped an event out of order")
			continue
		}
		if !state.responseStarted {
			e.keepOrigin(now, q, x.to)
			e.copyHead(w, x, -1)
			state.responseStarted = true
			q.firstEventTime = now
			e.scope.Timer("first").Record(now.Sub(q.arrived))
		}
		if !q.lastEventTime.IsZero() {
			q.longestGap = max(q.longestGap, now.Sub(q.lastEventTime))
		}
		q.lastEventTime = now
		if id != "" {
			state.idGaps = state.idGaps || state.lastEventID != "" && !state.continues(id)
			state.lastEventID = id
		}
		count++
		_, err = w.Write(event)
		if err == nil && !s.hasBufferedEvent() {
			err = flush.Flush()
		}
		if err != nil {
			x.abort()
			e.logResult(q, http.StatusOK, outcomeDisconnected, err)
			breakOff(q)
		}
	}
}

// continues reports whether an event follows the last one that the caller received. Where
// the ids so far had gaps, any greater id does.
func (s *forwardState) continues(id string) bool {
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && (next == last+1 || s.idGaps && next > last)
}

// isNewer reports whether an event id is greater than the last one that the caller
// received. It returns true if either is not a number.
func isNewer(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next > before
}

// endStream completes the response after the stream ended without an error.
func (e *Entry) endStream(w http.ResponseWriter, q *request, state *forwardState, x *exchange, count int) bool {
	if !state.responseStarted {
		e.copyHead(w, x, -1)
		state.responseStarted = true
	}
	x.finish()
	now := time.Now()
	e.recordOutcome(now, x.to, false)
	if count > 0 {
		e.recordSuccess(now, q, x)
	}
	e.logResult(q, http.StatusOK, outcomeStreamed, nil)
	return true
}

// handleStreamError handles a stream that ended early and reports whether the request
// is finished.
func (e *Entry) handleStreamError(ctx context.Context, w http.ResponseWriter, q *request, state *forwardState, x *exchange, count int, responded time.Time, err error) bool {
	x.abort()
	now := time.Now()
	logger := q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("events", count).With("last", state.lastEventID).With("parts", q.info.Parts).With("error", err.Error())
	if ctx.Err() != nil {
		logger.Infof("caller disconnected during the stream, or the entry stops")
		since := q.lastEventTime
		if since.IsZero() {
			since = q.arrived
		}
		e.recordUnresponsive(now, q, x.to, since)
		e.abandon(w, q, state)
		return true
	}
	if isTimeout(err) && !now.Before(q.deadline) {
		logger.Infof("stream not finished before the deadline")
		e.fail(w, q, state, http.StatusGatewayTimeout, reasonTimeout)
		return true
	}
	if conn.IsUnreachable(err) {
		e.ban(now, x.to, err)
	}
	e.recordAbort(now, q, x.to, responded)
	if e.canResume(q, state) {
		logger.Infof("stream ended early; resuming at another upstream")
		return false
	}
	logger.Infof("stream ended early; not resumed")
	e.fail(w, q, state, http.StatusBadGateway, reasonAborted)
	return true
}
