// Package cmds implements the subcommands of cactustide: each parses its
// arguments, calls the package that does the work and prints the result.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3 // The settings or the document are invalid.
	ExitConflict = 4 // Another operator's change was stored first.
	ExitUnknown  = 5 // It is unknown whether the change took effect.
	ExitPlatform = 6 // The platform could not be reached; nothing was changed.
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindFile    Kind = "file"
	KindInvalid Kind = "invalid"
	KindCall    Kind = "call"
	KindMissing Kind = "missing"
)

// Error is an error of this package: the failed operation, its kind and cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "cmds: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// streams are the output streams of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

// command is a subcommand and the function that runs it after parsing.
type command struct {
	parser *flaggy.Subcommand
	run    func(streams) int
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("cactustide")
	parser.Description = "routes language-model traffic with service levels and priorities"
	parser.ShowVersionWithVersionFlag = false
	var commands []command
	commands = append(commands, newEntry(), newAgent(), newDirect(), newEntries(), newCheck())
	ctlParser, ctlCommands := newCtl()
	for _, c := range commands {
		parser.AttachSubcommand(c.parser, 1)
	}
	parser.AttachSubcommand(ctlParser, 1)
	commands = append(commands, ctlCommands...)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "cactustide:", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.parser.Used {
			return c.run(streams{out: out, err: errOut})
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// fail prints an error and returns the exit code for it.
func (s streams) fail(err error, code int) int {
	fmt.Fprintln(s.err, "cactustide:", err)
	return code
}

func asError[T error](err error) (T, bool) {
	var found T
	ok := errors.As(err, &found)
	return found, ok
}
