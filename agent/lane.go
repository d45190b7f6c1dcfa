package agent

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"cactustide/dial"
)

// lane is one connection to the upstream, used by one request at a time, so
// that a request can be cancelled by closing it. The library never resends on
// it.
type lane struct {
	client *fasthttp.HostClient
	mu     sync.Mutex
	conn   net.Conn
}

func newLane(address string) *lane {
	l := &lane{}
	l.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      l.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       maxIdleConn,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.NeverResend,
	}
	return l
}

func (l *lane) dial(address string) (net.Conn, error) {
	conn, err := dial.Open(address, upstreamIdle)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	return conn, nil
}

// cut closes the connection under a running request.
func (l *lane) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// cutAfter cuts the connection when ctx ends. Its result undoes that, and waits
// for a cut in progress so that it cannot hit the lane's next request.
func (l *lane) cutAfter(ctx context.Context) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		l.cut()
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}
