package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"cactustide/conn"
	"cactustide/fleet"
)

const (
	// reportTimeout bounds the wait for the report of an upstream.
	reportTimeout = 300 * time.Millisecond
	// maxReportHeadBytes and maxReportBytes bound the head and the body of a report.
	maxReportHeadBytes = 16 << 10
	maxReportBytes     = 64 << 10
	// reportConns is the number of connections on which one upstream is asked: the first one may be
	// closed while it is asked, as any that was idle.
	reportConns = 2
	// maxReplaced is the number of upstreams found to have started again after which a request is
	// given up. Each of them is passed over by the requests that follow.
	maxReplaced = 16
)

var (
	errReportStatus = errs.New("upstream does not report on itself now")
	errReportClosed = errs.New("upstream closes the connection after its report")
	errReportLarge  = errs.New("report larger than allowed, or no memory for it")
)

// identify makes sure that a connection leads to the process of an upstream whose registration is
// known, for a request that goes on with a stream: a process that was started since may run another
// release, and its registration may not have come, or not come through. The process itself is
// asked, on the connection that then carries the request: what is started later does not have that
// connection, so that the answer holds for the request as well. It returns the connection to use,
// which may be another one.
func (e *Entry) identify(ctx context.Context, q *request, to fleet.Upstream, c *conn.Conn) (*conn.Conn, *failure) {
	if !q.hasOrigin || e.headers.ReportPath == "" || to.StartedAt == 0 {
		return c, nil
	}
	var lastErr error
	for n := 1; ; n++ {
		if c.StartedAt == to.StartedAt {
			return c, nil
		}
		startedAt, named, err := e.askStart(ctx, q.deadline, to, c)
		switch {
		case err == nil && !named:
			e.countReport("unnamed")
			q.log.With("request", q.info.ID).With("upstream", to.ID).Warnf("upstream does not name the start of its process; its registration counts")
			return c, nil
		case err == nil && startedAt != to.StartedAt:
			e.countReport("replaced")
			e.pool.Discard(c)
			e.fleet.RecordRefused(time.Now(), to.ID, to.StartedAt)
			return nil, &failure{err: errs.New("the process was started at %d, the registered one at %d", startedAt, to.StartedAt), withdrawn: fleet.WithdrawalReplaced}
		case err == nil:
			e.countReport("confirmed")
			c.StartedAt = startedAt
			return c, nil
		}
		lastErr = err
		e.pool.Discard(c)
		if n == reportConns || isTimeout(err) || ctx.Err() != nil {
			break
		}
		if c, err = e.pool.Open(to.Address, e.connLimit(q)); err != nil {
			return nil, connectFailure(err)
		}
	}
	e.countReport("failed")
	return nil, &failure{err: lastErr, withdrawn: fleet.WithdrawalUnidentified}
}

func (e *Entry) countReport(result string) {
	e.scope.Tagged(map[string]string{"result": result}).Counter("reports").Inc(1)
}

// askStart asks the process at the other end of a connection when it was started, Unix milliseconds.
// It reports false if the upstream does not name that. After an error the connection is of no use.
func (e *Entry) askStart(ctx context.Context, deadline time.Time, to fleet.Upstream, c *conn.Conn) (int64, bool, error) {
	if limit := time.Now().Add(reportTimeout); limit.Before(deadline) {
		deadline = limit
	}
	if err := c.SetDeadline(deadline); err != nil {
		return 0, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // Aborts pending reads and writes.
	startedAt, named, err := e.readReport(to, c)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if !named && c.Reused && err == nil {
		err = errMismatched // It may be a late response to a request that the connection carried.
	}
	c.Reused = true // A response that comes late may be to this request.
	return startedAt, named, err
}

// readReport asks for a report and returns what askStart does.
func (e *Entry) readReport(to fleet.Upstream, c *conn.Conn) (int64, bool, error) {
	if _, err := io.WriteString(c, http.MethodGet+" "+e.headers.ReportPath+" HTTP/1.1\r\nHost: "+to.Address+"\r\n\r\n"); err != nil {
		return 0, false, err
	}
	c.LimitRead(maxReportHeadBytes, maxReportHeadBytes, nil)
	resp, err := http.ReadResponse(c.Reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, false, err
	}
	c.UnlimitRead()
	if err := checkHead(resp); err != nil {
		return 0, false, err
	}
	info := e.headers.DecodeResponse(resp.Header)
	if info.Leaving {
		e.recordLeaving(fleet.Departure{Upstream: to.ID, StartedAt: to.StartedAt, Source: fleet.SourceResponse, At: time.Now()})
	}
	if info.ID != "" && c.Reused {
		return 0, false, errMismatched
	}
	if !e.responseMemory.reserve(maxReportBytes, maxReportBytes, maxReportBytes) {
		return 0, false, errReportLarge
	}
	defer e.responseMemory.release(maxReportBytes)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return 0, false, err
	case len(body) > maxReportBytes:
		return 0, false, errReportLarge
	case resp.Close || isUnframed(resp):
		return 0, false, errReportClosed
	case c.Reader.Buffered() > 0:
		return 0, false, errMismatched
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return e.headers.DecodeReport(body)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return 0, false, nil // It has no such path.
	}
	return 0, false, errReportStatus
}
