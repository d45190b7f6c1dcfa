package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"cactustide/dial"
	"cactustide/wire"
)

const (
	maxAgentConns    = 1 << 14
	frameBufferBytes = 8 << 10
	dialTimeout      = time.Second
	agentIdleTimeout = 20 * time.Second
	jobContentType   = "application/octet-stream"
	pathJob          = "/job"
	bearerPrefix     = "Bearer "
)

var (
	errCallerDisconnected = errors.New("entry: caller disconnected")
	errAgentStatus        = errors.New("entry: agent did not answer with status 200")
)

// newJobClient returns the HTTP client for jobs. A read without data for progress
// fails. The client never resends: a job whose connection broke may be running.
func newJobClient(progress time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			return dial.Open(address, progress)
		},
		MaxConnsPerHost:           maxAgentConns,
		MaxIdleConnDuration:       agentIdleTimeout,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.NeverResend,
	}
}

// call is one job sent to one agent.
type call struct {
	agent  string
	resp   *fasthttp.Response
	reader *bufio.Reader
	// unsent means that the job certainly did not reach the agent.
	unsent bool
}

// sendJob sends a job to an agent. The call is never nil; with an error, its unsent
// field says whether the job reached the agent.
func (e *Entry) sendJob(agent, address string, job *wire.Job) (*call, error) {
	data, err := proto.Marshal(job)
	if err != nil {
		return &call{agent: agent, unsent: true}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + pathJob)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(jobContentType)
	req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+e.settings.Token)
	req.SetBodyRaw(data)
	c := &call{agent: agent, resp: fasthttp.AcquireResponse()}
	if err := e.jobClient.Do(req, c.resp); err != nil {
		c.unsent = dial.IsDialError(err)
		c.close()
		return c, err
	}
	if c.resp.StatusCode() != fasthttp.StatusOK {
		c.unsent = true // The agent's HTTP server rejected it before reading a job.
		c.close()
		return c, errAgentStatus
	}
	c.reader = bufio.NewReaderSize(c.resp.BodyStream(), frameBufferBytes)
	return c, nil
}

// nextFrame returns the next frame that is not a heartbeat. At each heartbeat it
// calls disconnected, and returns errCallerDisconnected if that is true.
func (c *call) nextFrame(disconnected func() bool) (*wire.Frame, error) {
	for {
		f := &wire.Frame{}
		if err := wire.ReadFrame(c.reader, f); err != nil {
			return nil, err
		}
		if f.GetKind() != wire.FrameKind_WAIT {
			return f, nil
		}
		if disconnected() {
			return nil, errCallerDisconnected
		}
	}
}

// finish ends a call whose last frame was read. It reads the end of the response
// as well, so that the connection can be reused.
func (c *call) finish() {
	_, _ = io.Copy(io.Discard, c.reader)
	c.close()
}

// close ends the call. If the response was not read to its end, this closes the
// connection, by which the agent detects that the job is cancelled.
func (c *call) close() {
	if c.resp == nil {
		return
	}
	_ = c.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(c.resp)
	c.resp = nil
	c.reader = nil
}

// isDisconnected reports whether the remote end closed a connection that nothing
// reads. It peeks, so a pipelined request stays in the socket's buffer.
func isDisconnected(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}
