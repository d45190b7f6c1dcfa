package direct

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

const (
	// A body is read into segments, each reserved before it is read: the first of an unknown
	// length has minSegmentBytes, and each further one twice as many up to maxSegmentBytes.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
	// smallBodyBytes is the size up to which a body may use all of the memory for bodies.
	smallBodyBytes = 128 << 10
	// startShare is the fraction of that memory which a larger body may use when it begins.
	// The fraction grows with the part that has arrived, so that bodies which are nearly in
	// are finished before others begin.
	startShare = 0.5
	// bodyProgressTimeout is the longest time without a byte of a body.
	bodyProgressTimeout = 5 * time.Second
)

// memoryLimiter bounds the memory of bodies in progress, bytes.
type memoryLimiter struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n more bytes for a body of which have bytes have arrived and total are
// expected, and reports whether they were available.
func (l *memoryLimiter) reserve(n, have, total int64) bool {
	if l.used.Add(n) <= l.available(have+n, total) {
		return true
	}
	l.used.Add(-n)
	return false
}

// available returns the memory that a body may take part in, by what has arrived of it.
func (l *memoryLimiter) available(have, total int64) int64 {
	if max(have, total) <= smallBodyBytes {
		return l.limit
	}
	progress := min(1, float64(have)/float64(max(1, total)))
	return int64((startShare + (1-startShare)*progress) * float64(l.limit))
}

func (l *memoryLimiter) release(n int64) { l.used.Add(-n) }

var (
	errBodyMemory = errs.New("no memory for the body")
	errBodyLength = errs.New("more bytes than the length of the body")
)

// requestBody is the body of a request in segments, with the bytes reserved for it.
type requestBody struct {
	segments [][]byte
	size     int64
	reserved int64
}

// readBody reads the whole body, so that the request can be retried and an early response
// never leaves it half sent. Its memory is reserved as the bytes arrive. A status other than
// 0 is to be returned to the caller, with the reason; nothing is reserved then.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) (int, string) {
	if r.ContentLength == 0 {
		q.hasBody = r.Header.Get("Content-Length") != ""
		return 0, ""
	}
	q.hasBody = true
	expected := r.ContentLength
	if limit > 0 {
		if r.ContentLength > limit {
			return http.StatusRequestEntityTooLarge, reasonBodyTooLarge
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	deadlines := http.NewResponseController(w)
	end := q.arrived.Add(q.timeLimit())
	err := e.readSegments(r.Body, &q.body, expected, limit, func() error {
		at := time.Now().Add(bodyProgressTimeout)
		if end.Before(at) {
			at = end
		}
		return deadlines.SetReadDeadline(at)
	})
	// The server goes on reading after the body, to notice that the caller leaves.
	if clearErr := deadlines.SetReadDeadline(time.Time{}); err == nil {
		err = clearErr
	}
	if err == nil {
		return 0, ""
	}
	e.bodyMemory.release(q.body.reserved)
	logger := e.log.With("request", q.info.ID).With("bytes", q.body.size).With("expected", expected).With("used", e.bodyMemory.used.Load())
	q.body = requestBody{}
	w.Header().Set("Connection", "close") // The rest of the body may still arrive.
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		logger.Infof("no memory for the request's body")
		return http.StatusServiceUnavailable, reasonBodyMemory
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, reasonBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		logger.Infof("the request's body did not arrive in time")
		return http.StatusRequestTimeout, reasonBodySlow
	}
	return http.StatusBadRequest, reasonInvalid
}

// readSegments reads a body to its end. beforeRead is called before each read. expected is
// the length of the body, negative if that is unknown, limit the longest one; 0 means none.
func (e *Entry) readSegments(from io.Reader, body *requestBody, expected, limit int64, beforeRead func() error) error {
	size := int64(minSegmentBytes)
	var segment []byte
	for {
		if len(segment) == cap(segment) && body.size != expected {
			total := expected
			if expected < 0 {
				total = body.size + size
				if total > smallBodyBytes {
					total = max(total, limit)
				}
			} else {
				size = min(maxSegmentBytes, expected-body.size)
			}
			if !e.bodyMemory.reserve(size, body.size, total) {
				return errBodyMemory
			}
			body.reserved += size
			segment = make([]byte, 0, size)
			body.segments = append(body.segments, segment)
			size = min(maxSegmentBytes, 2*size)
		}
		free := segment[len(segment):cap(segment)]
		if len(free) == 0 {
			free = make([]byte, 1) // The body is in; what follows is its end.
		}
		if err := beforeRead(); err != nil {
			return err
		}
		n, err := from.Read(free)
		if body.size == expected && n > 0 {
			return errBodyLength
		}
		segment = segment[:len(segment)+n]
		if len(body.segments) > 0 {
			body.segments[len(body.segments)-1] = segment
		}
		body.size += int64(n)
		if err == io.EOF && (expected < 0 || body.size == expected) {
			return nil
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}
