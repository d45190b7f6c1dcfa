package cmds

import (
	"fmt"
	"os"

	"cactustide/config"
	"cactustide/setup"
	"cactustide/wire"
)

// loadSettings reads a settings file, fills in defaults and validates it. On
// failure it prints the error, or each violation with the file and the key, and
// returns a non-zero exit code.
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

// loadDocument reads and parses a configuration document, but doesn't validate
// it. On failure it prints the error and returns a non-zero exit code.
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

// printParseError prints the violations of a parse error, one on each line, or the
// error itself if it has none.
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
