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

	"cactustide/place"
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyHead copies an upstream's status and headers to the caller.
func copyHead(w http.ResponseWriter, x *exchange, length int) {
	h := x.resp.Header.Clone()
	removeHopByHop(h)
	h.Del("Content-Length")
	out := w.Header()
	for name, values := range h {
		out[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // Keeps the library from guessing.
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(x.resp.StatusCode)
}

// passResponse passes on an answer that is no stream and reports whether the
// request is settled.
func (e *Entry) passResponse(ctx context.Context, w http.ResponseWriter, q *request, a *forwardState, x *exchange, inFlight *place.Ticket) bool {
	inFlight.Event(time.Now())
	data, whole, err := x.bufferBody()
	if err != nil {
		x.abort()
		return e.handleFailure(ctx, w, q, &forwardState{tried: a.tried, executed: a.executed - 1}, x.to, &failure{err: err, sent: true})
	}
	if x.resp.StatusCode < http.StatusInternalServerError {
		e.recordOutcome(time.Now(), x.to, false)
	}
	if whole {
		x.finish()
		copyHead(w, x, len(data))
		_, err = w.Write(data)
		e.logResult(q, x.resp.StatusCode, "answered", err)
		return true
	}
	copyHead(w, x, int(x.resp.ContentLength))
	_, err = w.Write(data)
	if err == nil {
		_, err = io.Copy(w, x.resp.Body)
	}
	if err != nil {
		x.abort()
		e.logResult(q, x.resp.StatusCode, "broken off", err)
		panic(http.ErrAbortHandler)
	}
	x.finish()
	e.logResult(q, x.resp.StatusCode, "answered", nil)
	return true
}

// eventReader reads a stream event by event.
type eventReader struct {
	reader *bufio.Reader
	// partial holds the start of an event.
	partial []byte
}

// maxEventBytes bounds an event, bytes.
const maxEventBytes = 1 << 20

// next returns the next whole event with its end, which is an empty line.
func (s *eventReader) next() ([]byte, error) {
	s.partial = s.partial[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		s.partial = append(s.partial, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(s.partial) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return s.partial, nil
		}
	}
}

// hasBufferedEvent reports whether a whole event has arrived already, so that next
// does not wait.
func (s *eventReader) hasBufferedEvent() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// eventID returns the id of an event, or an empty text.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// passStream passes a stream on, event by event, and reports whether the
// request is settled.
func (e *Entry) passStream(ctx context.Context, w http.ResponseWriter, q *request, a *forwardState, x *exchange, inFlight *place.Ticket) bool {
	s := &eventReader{reader: bufio.NewReaderSize(x.resp.Body, 4<<10)}
	flush := http.NewResponseController(w)
	count := 0
	for {
		event, err := s.next()
		now := time.Now()
		if err == io.EOF && len(s.partial) == 0 {
			return e.endStream(w, q, a, x, count)
		}
		if err != nil {
			return e.handleStreamError(ctx, w, q, a, x, count, err)
		}
		inFlight.Event(now)
		id := eventID(event)
		if !isNewer(a.lastEventID, id) {
			q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("last", a.lastEventID).With("event", id).Warnf("dropped an event out of order")
			continue
		}
		if !a.responseStarted {
			copyHead(w, x, -1)
			a.responseStarted = true
			q.firstEventTime = now
			e.scope.Timer("first").Record(now.Sub(q.arrived))
		}
		if !q.lastEventTime.IsZero() {
			q.longestGap = max(q.longestGap, now.Sub(q.lastEventTime))
		}
		q.lastEventTime = now
		if id != "" {
			a.lastEventID = id
		}
		count++
		_, err = w.Write(event)
		if err == nil && !s.hasBufferedEvent() {
			err = flush.Flush()
		}
		if err != nil {
			x.abort()
			e.logResult(q, http.StatusOK, outcomeDisconnected, err)
			panic(http.ErrAbortHandler)
		}
	}
}

// isNewer reports whether an event comes after the last one that the caller
// has. Events without a number always do.
func isNewer(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next > before
}

// endStream ends an answer whose stream ended whole.
func (e *Entry) endStream(w http.ResponseWriter, q *request, a *forwardState, x *exchange, count int) bool {
	if !a.responseStarted {
		copyHead(w, x, -1)
		a.responseStarted = true
	}
	x.finish()
	e.recordOutcome(time.Now(), x.to, false)
	e.logResult(q, http.StatusOK, outcomeStreamed, nil)
	return true
}

// handleStreamError decides what follows a stream that broke off.
func (e *Entry) handleStreamError(ctx context.Context, w http.ResponseWriter, q *request, a *forwardState, x *exchange, count int, err error) bool {
	x.abort()
	now := time.Now()
	line := q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("events", count).With("last", a.lastEventID).With("error", err.Error())
	if ctx.Err() != nil {
		line.Infof("the caller left")
		since := q.lastEventTime
		if since.IsZero() {
			since = q.arrived
		}
		e.recordUnresponsive(now, q, x.to, since)
		e.logResult(q, 0, outcomeDisconnected, nil)
		panic(http.ErrAbortHandler)
	}
	if isTimeout(err) && !now.Before(q.deadline) {
		line.Infof("stream not finished in time")
		e.fail(w, q, a, http.StatusGatewayTimeout, reasonTimeout)
		return true
	}
	if isUnreachable(err) {
		e.ban(now, x.to, err)
	}
	e.recordAbort(now, q, x.to)
	if e.canResume(q, a) {
		line.Infof("stream broke off; resuming")
		return false
	}
	line.Infof("stream broke off")
	e.fail(w, q, a, http.StatusBadGateway, reasonBroken)
	return true
}
