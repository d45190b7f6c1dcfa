// Package fakes implements fakes of the systems around cactustide: the platform's
// key-value service, model engines and plain services. Faults can be injected
// into each. Only tests and lab programs import it.
package fakes

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// server is an HTTP server that can crash and restart at the same address.
type server struct {
	handler fasthttp.RequestHandler
	address string
	mu      sync.Mutex
	http    *fasthttp.Server
	tracked *trackingListener
	done    chan struct{}
	closed  bool
}

// trackingListener tracks its open connections, so that a crash can reset them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Accept accepts a connection and tracks it.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// resetAll resets every open connection, as happens when a process dies.
func (l *trackingListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		raw := c.(*trackedConn).Conn
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = raw.Close()
	}
}

func (s *server) start(address string, handler fasthttp.RequestHandler) error {
	s.handler = handler
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return nil
}

func (s *server) serve(listener net.Listener) {
	tracked := &trackingListener{Listener: listener, conns: map[net.Conn]struct{}{}}
	h := &fasthttp.Server{
		Handler:            s.handler,
		MaxRequestBodySize: 64 << 20,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	done := make(chan struct{})
	s.mu.Lock()
	s.http, s.tracked, s.done = h, tracked, done
	s.mu.Unlock()
	go func() {
		defer close(done)
		_ = h.Serve(tracked)
	}()
}

// crash resets every connection and refuses new ones for the downtime.
func (s *server) crash(downtime time.Duration) {
	s.mu.Lock()
	tracked, done := s.tracked, s.done
	s.mu.Unlock()
	_ = tracked.Close()
	tracked.resetAll()
	<-done
	time.AfterFunc(downtime, s.reopen)
}

func (s *server) reopen() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(50*time.Millisecond, s.reopen)
		return
	}
	s.serve(listener)
}

// Address returns the address that the server listens on.
func (s *server) Address() string { return s.address }

// Close stops the server and resets its connections.
func (s *server) Close() {
	s.mu.Lock()
	s.closed = true
	tracked, done := s.tracked, s.done
	s.mu.Unlock()
	_ = tracked.Close()
	tracked.resetAll()
	<-done
}

// discardLogger discards fasthttp's log lines about reset connections.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
