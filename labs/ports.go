package main

import (
	"fmt"
	"net"

	"cactustide/fakes"
)

// newPorts returns the command that prints free TCP ports, for scripts that start
// processes.
func newPorts() command {
	parser := newSubcommand("ports", "prints free TCP ports")
	count := 1
	parser.Int(&count, "n", "count", "number of ports")
	return command{parser: parser, run: func() error {
		for range count {
			_, port, err := net.SplitHostPort(fakes.FreeAddress())
			if err != nil {
				return err
			}
			fmt.Println(port)
		}
		return nil
	}}
}
