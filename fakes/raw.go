package fakes

import (
	"io"
	"net"
	"sync"
	"time"
)

// RawServer passes each connection to a function, which may write any bytes and end the
// connection in any way; what is still open then is closed.
type RawServer struct {
	Address  string
	listener net.Listener
	serving  sync.WaitGroup
}

// NewRawServer starts a server on a free loopback port.
func NewRawServer(serve func(c *net.TCPConn)) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{Address: l.Addr().String(), listener: l}
	s.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() {
				serve(c.(*net.TCPConn))
				_ = c.Close() // It may be closed already.
			})
		}
	})
	return s, nil
}

// Close stops the server and waits for the connections' functions.
func (s *RawServer) Close() {
	_ = s.listener.Close() // There is nothing to do about a failed close.
	s.serving.Wait()
}

// Respond returns a function for NewRawServer that reads the first bytes of a request, sends a
// response and ends the connection in order.
func Respond(response string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, response) // The client may have closed it.
	}
}

// ResetAfter returns a function for NewRawServer that reads the first bytes of a request, sends a
// response and resets the connection after a time.
func ResetAfter(response string, after time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, response) // A failed write shows in what the client gets.
		time.Sleep(after)
		resetConn(c)
	}
}
