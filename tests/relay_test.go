package tests

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay is a TCP relay whose connections can be cut.
type relay struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	target   string
	cut      bool
	conns    []net.Conn
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, listener: l}
	t.Cleanup(func() { _ = l.Close(); r.setCut(true) })
	go r.accept()
	return r
}

// forwardTo sets the target and returns the relay's address.
func (r *relay) forwardTo(target string) string {
	r.mu.Lock()
	r.target = target
	r.mu.Unlock()
	return r.listener.Addr().String()
}

// setCut closes all connections and refuses new ones, or accepts them again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.conns = nil
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut, target := r.cut, r.target
		r.mu.Unlock()
		if cut {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go pipe(in, out)
		go pipe(out, in)
	}
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
