package main

import (
	"fmt"
	"net"
)

// newPorts prints free TCP ports, for scripts that start processes.
func newPorts() command {
	parser := newSubcommand("ports", "prints free TCP ports")
	count := 1
	parser.Int(&count, "n", "count", "how many")
	return command{parser: parser, run: func() error {
		var open []net.Listener
		for range count {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			open = append(open, l)
			fmt.Println(l.Addr().(*net.TCPAddr).Port)
		}
		for _, l := range open {
			_ = l.Close()
		}
		return nil
	}}
}
