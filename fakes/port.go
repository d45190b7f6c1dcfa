package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below the range that the kernel takes for outgoing connections, so that
// none is taken between its choice and its use.
const (
	firstPort       = 12000
	portCount       = 18000
	portsPerProcess = 131
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
