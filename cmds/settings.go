package cmds

import (
	"fmt"
	"os"

	"cactustide/config"
	"cactustide/setup"
	"cactustide/wire"
)

// loadSettings reads, completes and checks a settings file. It prints every
// fault with the file and the key.
func loadSettings(s streams, file, role string) (*setup.Settings, int) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, s.fail(&Error{Op: "read settings", Kind: KindFile, Err: err}, ExitInvalid)
	}
	settings, err := wire.ParseSettings(text)
	if err != nil {
		return nil, s.printParseError(file, err)
	}
	settings.FillDefaults(os.Getenv)
	if violations := settings.Check(role); len(violations) > 0 {
		return nil, s.printViolations(file, violations)
	}
	return settings, ExitOK
}

// loadDocument reads a configuration document.
func loadDocument(s streams, file string) (*config.Document, int) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, s.fail(&Error{Op: "read document", Kind: KindFile, Err: err}, ExitInvalid)
	}
	d, err := wire.ParseDocument(text)
	if err != nil {
		return nil, s.printParseError(file, err)
	}
	return d, ExitOK
}

// printParseError prints the faults of an error, one on each line.
func (s streams) printParseError(file string, err error) int {
	if wireErr, ok := asError[*wire.Error](err); ok && len(wireErr.Violations) > 0 {
		return s.printViolations(file, wireErr.Violations)
	}
	fmt.Fprintf(s.err, "%s: %v\n", file, err)
	return ExitInvalid
}

func (s streams) printViolations(file string, violations []config.Violation) int {
	for _, v := range violations {
		fmt.Fprintf(s.err, "%s: %s\n", file, v)
	}
	return ExitInvalid
}
