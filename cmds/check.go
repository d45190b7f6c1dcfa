package cmds

import (
	"fmt"
	"os"

	"cactustide/config"
	"cactustide/platform"
	"cactustide/setup"
)

// newCheck returns the subcommand that validates files without starting a process.
func newCheck() command {
	parser := newSubcommand("check", "checks a settings file (--role) or a configuration document")
	var file, role string
	parser.AddPositionalValue(&file, "file", 1, true, "the file to check")
	parser.String(&role, "r", "role", "role that the settings are for: entry, agent, ctl or direct (the platform's boot file); without it the file is a configuration document")
	return command{parser: parser, run: func(s streams) int {
		if role != "" {
			return checkSettings(s, file, role)
		}
		return checkDocument(s, file)
	}}
}

func checkSettings(s streams, file, role string) int {
	switch role {
	case roleDirect:
		return checkDirect(s, file)
	case setup.RoleEntry, setup.RoleAgent, setup.RoleCtl:
	default:
		fmt.Fprintf(s.err, "role: %q is not allowed; must be entry, agent, ctl or direct\n", role)
		return ExitUsage
	}
	if _, code := loadSettings(s, file, role); code != ExitOK {
		return code
	}
	fmt.Fprintf(s.out, "%s: no faults\n", file)
	return ExitOK
}

// roleDirect is the role of an entry that forwards directly to upstreams, without
// agents.
const roleDirect = "direct"

func checkDirect(s streams, file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return s.fail(&Error{Op: "read settings", Kind: KindFile, Err: err}, ExitInvalid)
	}
	if _, err := platform.ParseSettings(text); err != nil {
		return s.fail(err, ExitInvalid)
	}
	fmt.Fprintf(s.out, "%s: no faults\n", file)
	return ExitOK
}

func checkDocument(s streams, file string) int {
	d, code := loadDocument(s, file)
	if code != ExitOK {
		return code
	}
	if violations := config.Check(d); len(violations) > 0 {
		return s.printViolations(file, violations)
	}
	fmt.Fprintf(s.out, "%s: no faults\n", file)
	return ExitOK
}
