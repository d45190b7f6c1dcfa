// Command cactustide routes language-model traffic with service levels and
// priorities.
package main

import (
	"os"

	"cactustide/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
