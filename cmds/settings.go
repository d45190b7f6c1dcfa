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
		return nil, s.printFaults(file, err)
	}
	settings.FillDefaults(os.Getenv)
	if faults := settings.Check(role); len(faults) > 0 {
		return nil, s.printList(file, faults)
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
		return nil, s.printFaults(file, err)
	}
	return d, ExitOK
}

// printFaults prints the faults of an error, one on each line.
func (s streams) printFaults(file string, err error) int {
	if typed, ok := asError[*wire.Error](err); ok && len(typed.Violations) > 0 {
		return s.printList(file, typed.Violations)
	}
	fmt.Fprintf(s.err, "%s: %v\n", file, err)
	return ExitInvalid
}

func (s streams) printList(file string, faults []config.Violation) int {
	for _, f := range faults {
		fmt.Fprintf(s.err, "%s: %s\n", file, f)
	}
	return ExitInvalid
}
