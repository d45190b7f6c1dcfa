package agent

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"cactustide/dial"
)

// upstreamConn is one connection to the upstream, used by one request at a time, so
// that closing it cancels that request. The HTTP client never resends on it.
type upstreamConn struct {
	client *fasthttp.HostClient
	mu     sync.Mutex
	conn   net.Conn
}

func newUpstreamConn(address string) *upstreamConn {
	c := &upstreamConn{}
	c.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      c.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleConnTimeout,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.NeverResend,
	}
	return c
}

func (c *upstreamConn) dial(address string) (net.Conn, error) {
	conn, err := dial.Open(address, upstreamReadTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	return conn, nil
}

// abort closes the connection under a running request.
func (c *upstreamConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// abortOnDone calls abort when ctx ends. The returned function undoes that, and
// waits for an abort in progress, which could otherwise hit the next request on
// this connection.
func (c *upstreamConn) abortOnDone(ctx context.Context) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		c.abort()
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}
