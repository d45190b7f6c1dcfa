package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// CutServer answers each request with the first bytes of a response and closes the
// connection.
type CutServer struct {
	Address  string
	response string
	length   atomic.Int64
	listener net.Listener
	serving  sync.WaitGroup
}

// NewCutServer starts a server on a free loopback port. Until SetLength is called it sends
// nothing.
func NewCutServer(response string) (*CutServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &CutServer{Address: l.Addr().String(), response: response, listener: l}
	s.serving.Go(s.serve)
	return s, nil
}

// SetLength sets the number of bytes that are sent.
func (s *CutServer) SetLength(n int) { s.length.Store(int64(n)) }

func (s *CutServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, s.response[:s.length.Load()]) // The client may have closed it.
		}
		_ = c.Close() // The response ends here.
	}
}

// Close stops the server and waits for it.
func (s *CutServer) Close() {
	_ = s.listener.Close() // There is nothing to do about a failed close.
	s.serving.Wait()
}
