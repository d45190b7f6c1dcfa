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
	frameBufferBytes = 8 << 10 // Bytes.
	dialTimeout      = time.Second
	agentIdleTimeout = 20 * time.Second
	jobContentType   = "application/octet-stream"
	pathJob          = "/job"
	bearerPrefix     = "Bearer "
)

var (
	errCallerDisconnected = errors.New("entry: the caller went away")
	errAgentStatus        = errors.New("entry: the agent refused the connection")
)

// newJobClient returns the client for jobs. It never resends: a job whose
// connection broke may be running.
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

// call is one job at one agent.
type call struct {
	agent  string
	resp   *fasthttp.Response
	reader *bufio.Reader
	// unsent means that the job certainly did not reach the agent.
	unsent bool
}

// sendJob sends a job to an agent.
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
		c.unsent = true // The agent's HTTP end refused it before reading a job.
		c.close()
		return c, errAgentStatus
	}
	c.reader = bufio.NewReaderSize(c.resp.BodyStream(), frameBufferBytes)
	return c, nil
}

// nextFrame returns the nextFrame frame that is not a sign of life. gone is asked at
// each sign of life whether the caller went away.
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

// finish ends a call whose last frame was read. It reads the end of the answer
// as well, so that the connection can be used again.
func (c *call) finish() {
	_, _ = io.Copy(io.Discard, c.reader)
	c.close()
}

// close ends the call. If the answer was not read to its end, the connection
// closes, which is how the agent learns that the job is cancelled.
func (c *call) close() {
	if c.resp == nil {
		return
	}
	_ = c.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(c.resp)
	c.resp = nil
	c.reader = nil
}

// isDisconnected reports whether the peer closed a connection that nothing reads. It
// peeks, so a pipelined request stays in place.
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
