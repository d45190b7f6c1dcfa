package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the kernel's ephemeral range, so that no outgoing connection
// takes one between its choice and its use. Processes with consecutive ids start
// portsPerProcess apart.
const (
	firstPort       = 12000
	portCount       = 18000
	portsPerProcess = 1009
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() string {
	for {
		n := (int64(os.Getpid())*portsPerProcess + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// FreePeerAddress returns a loopback address for messages between entries. Its IP address is
// that of the test process alone: entries greet addresses that were theirs a minute ago, which
// another process may use by then.
func FreePeerAddress() string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>14)%250, (pid>>7)%128, 1+pid%128)
	_, port, _ := net.SplitHostPort(FreeAddress()) // It has the form that FreeAddress gives it.
	return net.JoinHostPort(host, port)
}
