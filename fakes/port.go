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
