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

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyHead copies an upstream's status and headers to the caller.
func copyHead(w http.ResponseWriter, x *exchange, length int) {
	h := x.resp.Header.Clone()
	dropHops(h)
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

// passWhole passes on an answer that is no stream and reports whether the
// request is settled.
func (e *Entry) passWhole(ctx context.Context, w http.ResponseWriter, q *request, a *attempt, x *exchange, ticket *place.InFlightRequest) bool {
	ticket.RecordEvent(time.Now())
	data, whole, err := x.readWhole()
	if err != nil {
		x.drop()
		return e.settleFailure(ctx, w, q, &attempt{tried: a.tried, ran: a.ran - 1}, x.to, &failure{err: err, sent: true})
	}
	if x.resp.StatusCode < http.StatusInternalServerError {
		e.record(time.Now(), x.to, false)
	}
	if whole {
		x.finish()
		copyHead(w, x, len(data))
		_, err = w.Write(data)
		e.logEnd(q, x.resp.StatusCode, "answered", err)
		return true
	}
	copyHead(w, x, int(x.resp.ContentLength))
	_, err = w.Write(data)
	if err == nil {
		_, err = io.Copy(w, x.resp.Body)
	}
	if err != nil {
		x.drop()
		e.logEnd(q, x.resp.StatusCode, "broken off", err)
		panic(http.ErrAbortHandler)
	}
	x.finish()
	e.logEnd(q, x.resp.StatusCode, "answered", nil)
	return true
}

// events reads a stream event by event.
type events struct {
	reader *bufio.Reader
	// partial holds the start of an event.
	partial []byte
}

// maxEvent bounds an event, bytes.
const maxEvent = 1 << 20

// next returns the next whole event with its end, which is an empty line.
func (s *events) next() ([]byte, error) {
	s.partial = s.partial[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		s.partial = append(s.partial, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(s.partial) > maxEvent {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return s.partial, nil
		}
	}
}

// holdsEvent reports whether a whole event has arrived already, so that next
// does not wait.
func (s *events) holdsEvent() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// idOf returns the id of an event, or an empty text.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// passStream passes a stream on, event by event, and reports whether the
// request is settled.
func (e *Entry) passStream(ctx context.Context, w http.ResponseWriter, q *request, a *attempt, x *exchange, ticket *place.InFlightRequest) bool {
	s := &events{reader: bufio.NewReaderSize(x.resp.Body, 4<<10)}
	flush := http.NewResponseController(w)
	count := 0
	for {
		event, err := s.next()
		now := time.Now()
		if err == io.EOF && len(s.partial) == 0 {
			return e.endStream(w, q, a, x, count)
		}
		if err != nil {
			return e.breakStream(ctx, w, q, a, x, count, err)
		}
		ticket.RecordEvent(now)
		id := idOf(event)
		if !follows(a.last, id) {
			q.log.With("request", q.ask.ID).With("upstream", x.to.ID).With("last", a.last).With("event", id).Warnf("dropped an event out of order")
			continue
		}
		if !a.passed {
			copyHead(w, x, -1)
			a.passed = true
			q.first = now
			e.scope.Timer("first").Record(now.Sub(q.arrived))
		}
		if !q.last.IsZero() {
			q.pause = max(q.pause, now.Sub(q.last))
		}
		q.last = now
		if id != "" {
			a.last = id
		}
		count++
		_, err = w.Write(event)
		if err == nil && !s.holdsEvent() {
			err = flush.Flush()
		}
		if err != nil {
			x.drop()
			e.logEnd(q, http.StatusOK, outcomeLeft, err)
			panic(http.ErrAbortHandler)
		}
	}
}

// follows reports whether an event comes after the last one that the caller
// has. Events without a number always do.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next > before
}

// endStream ends an answer whose stream ended whole.
func (e *Entry) endStream(w http.ResponseWriter, q *request, a *attempt, x *exchange, count int) bool {
	if !a.passed {
		copyHead(w, x, -1)
		a.passed = true
	}
	x.finish()
	e.record(time.Now(), x.to, false)
	e.logEnd(q, http.StatusOK, outcomeStreamed, nil)
	return true
}

// breakStream decides what follows a stream that broke off.
func (e *Entry) breakStream(ctx context.Context, w http.ResponseWriter, q *request, a *attempt, x *exchange, count int, err error) bool {
	x.drop()
	now := time.Now()
	line := q.log.With("request", q.ask.ID).With("upstream", x.to.ID).With("events", count).With("last", a.last).With("error", err.Error())
	if ctx.Err() != nil {
		line.Infof("the caller left")
		since := q.last
		if since.IsZero() {
			since = q.arrived
		}
		e.noteSilence(now, q, x.to, since)
		e.logEnd(q, 0, outcomeLeft, nil)
		panic(http.ErrAbortHandler)
	}
	if isTimeout(err) && !now.Before(q.deadline) {
		line.Infof("stream not finished in time")
		e.giveUp(w, q, a, http.StatusGatewayTimeout, reasonTimeout)
		return true
	}
	if isAway(err) {
		e.ban(now, x.to, err)
	}
	e.noteBreak(now, q, x.to)
	if e.mayResume(q, a) {
		line.Infof("stream broke off; resuming")
		return false
	}
	line.Infof("stream broke off")
	e.giveUp(w, q, a, http.StatusBadGateway, reasonBroken)
	return true
}
