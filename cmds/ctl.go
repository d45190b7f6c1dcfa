package cmds

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"cactustide/config"
	"cactustide/dial"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

const adminTimeout = 3 * time.Second

// adminClient calls the admin addresses of processes.
var adminClient = &fasthttp.Client{Dial: dial.OpenKeepAlive}

// ctlOptions holds the flags common to all operator commands.
type ctlOptions struct {
	file   string
	author string
	asJSON bool
}

// session is the state of a running operator command.
type session struct {
	streams
	options  *ctlOptions
	settings *setup.Settings
	platform *store.Client
}

// newCtl returns the operator subcommand and its nested subcommands.
func newCtl() (*flaggy.Subcommand, []command) {
	parser := newSubcommand("ctl", "operator client")
	c := &ctlOptions{file: "ctl.yaml", author: os.Getenv("USER")}
	parser.String(&c.file, "s", "settings", "settings file")
	parser.String(&c.author, "a", "author", "your name, stored with each change")
	parser.Bool(&c.asJSON, "j", "json", "print JSON instead of a table")
	commands := append(newChangeCommands(c), newReportCommands(c)...)
	for _, x := range commands {
		parser.AttachSubcommand(x.parser, 1)
	}
	return parser, commands
}

// withSession returns a function that loads the settings and runs a command with
// them.
func (c *ctlOptions) withSession(run func(*session) int) func(streams) int {
	return func(s streams) int {
		settings, code := loadSettings(s, c.file, setup.RoleCtl)
		if code != ExitOK {
			return code
		}
		return run(&session{streams: s, options: c, settings: settings, platform: store.New(settings.Platform)})
	}
}

// documentStore returns the configuration document's store in the platform's
// key-value service.
func (x *session) documentStore() config.Store {
	return wire.NewDocumentStore(x.platform, x.settings.Prefix)
}

// change applies an edit to the document in force, prints the outcome and returns
// the exit code.
func (x *session) change(edit func(*config.Document)) int {
	id := strconv.FormatUint(rand.Uint64(), 36)
	d, err := config.Change(x.documentStore(), id, x.options.author, edit)
	if err == nil {
		fmt.Fprintf(x.out, "generation %d accepted, preset %s\n", d.Generation, d.Preset)
		return ExitOK
	}
	changeErr, ok := asError[*config.Error](err)
	if !ok {
		return x.fail(err, ExitFailed)
	}
	switch changeErr.Kind {
	case config.KindInvalid:
		return x.printViolations("document", changeErr.Violations)
	case config.KindConflict:
		x.printConflict(changeErr.Current)
		return ExitConflict
	case config.KindUnknown:
		fmt.Fprintf(x.err, "unknown: the platform did not confirm the change; it may have taken effect (%v)\n", changeErr.Err)
		fmt.Fprintf(x.err, "check for change %s with: cactustide ctl show\n", id)
		return ExitUnknown
	default:
		fmt.Fprintf(x.err, "the platform could not be reached; nothing was changed (%v)\n", changeErr.Err)
		return ExitPlatform
	}
}

func (x *session) printConflict(current *config.Document) {
	fmt.Fprintf(x.err, "conflict: %s's change %s went first; yours was not applied\n", current.Author, current.Change)
	fmt.Fprintf(x.err, "in force: generation %d, preset %s\n", current.Generation, current.Preset)
}

// current reads the document in force. On failure it prints the error and returns
// a non-zero exit code.
func (x *session) current() (*config.Document, int) {
	d, version, err := x.documentStore().Read()
	if err != nil {
		return nil, x.fail(err, ExitPlatform)
	}
	if version == 0 {
		return nil, x.fail(&Error{Op: "read document", Kind: KindMissing, Err: errs.New("no configuration yet; use ctl apply")}, ExitFailed)
	}
	return d, ExitOK
}

// fetchJSON reads JSON from a process's admin address.
func (x *session) fetchJSON(address, path string, into any) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+x.settings.OperatorToken)
	if err := adminClient.DoTimeout(req, resp, adminTimeout); err != nil {
		return &Error{Op: "query " + address, Kind: KindCall, Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{Op: "query " + address, Kind: KindCall, Err: errs.New("status %d: %s", resp.StatusCode(), resp.Body())}
	}
	return json.Unmarshal(resp.Body(), into)
}

// print prints value as JSON with --json, otherwise a table of header and rows.
func (x *session) print(value any, header string, rows func(w *tabwriter.Writer)) int {
	if x.options.asJSON {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return x.fail(err, ExitFailed)
		}
		fmt.Fprintln(x.out, string(data))
		return ExitOK
	}
	w := tabwriter.NewWriter(x.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	if err := w.Flush(); err != nil {
		return x.fail(err, ExitFailed)
	}
	return ExitOK
}
