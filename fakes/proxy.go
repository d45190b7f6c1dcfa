package fakes

import (
	"io"
	"net"
)

// ServeCut returns a function for NewRawServer that forwards what a client sends to target, passes
// on the first n bytes of what comes back and resets the connection.
func ServeCut(target string, n int64) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		defer resetConn(c)
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = upstream.Close() }() // Ends the copy below.
		go func() { _, _ = io.Copy(upstream, c) }()
		if n > 0 {
			_, _ = io.CopyN(c, upstream, n) // The client may have closed it.
			return
		}
		_, _ = upstream.Read(make([]byte, 1))
	}
}
