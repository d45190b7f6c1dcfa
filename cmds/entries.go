package cmds

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"cactustide/direct"
	"cactustide/wire"
)

// statusLimit bounds the wait for one entry's status.
const statusLimit = 2 * time.Second

// newEntries returns the subcommand that asks entries what they know.
func newEntries() command {
	parser := newSubcommand("entries", "prints what entries that forward straight to upstreams know, and where they differ")
	var addresses []string
	parser.StringSlice(&addresses, "a", "admin", "operators' address of an entry; may stand several times")
	return command{parser: parser, run: func(s streams) int {
		if len(addresses) == 0 {
			return s.fail(&Error{Op: "entries", Kind: KindMissing, Err: errs.New("no entry is named; --admin 10.0.0.1:8229")}, ExitUsage)
		}
		return printEntries(s, addresses)
	}}
}

func printEntries(s streams, addresses []string) int {
	code := ExitOK
	versions := map[uint64]bool{}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "entry\tready\tversion\tage s\tstore down s\tentries\tupstreams\tbanned\tlapsed\trequests\tdropped lines\tbudget")
	for _, address := range addresses {
		status, err := fetchStatus(address)
		if err != nil {
			fmt.Fprintf(w, "%s\t%v\n", address, err)
			code = ExitFailed
			continue
		}
		versions[status.GetVersion()] = true
		printEntry(w, status)
	}
	if err := w.Flush(); err != nil {
		return s.fail(err, ExitFailed)
	}
	if len(versions) > 1 {
		fmt.Fprintln(s.out, "the entries have different versions in force")
		code = ExitFailed
	}
	return code
}

func printEntry(w *tabwriter.Writer, status *wire.EntryStatus) {
	down := 0.0
	for _, p := range status.GetPrefixes() {
		down = max(down, p.GetDown())
	}
	banned, lapsed := 0, 0
	for _, u := range status.GetUpstreams() {
		if u.GetBanned() {
			banned++
		}
		if u.GetLapsed() {
			lapsed++
		}
	}
	fmt.Fprintf(w, "%s\t%v\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t", status.GetName(), status.GetReady(), status.GetVersion(), status.GetAge(),
		down, status.GetEntries(), len(status.GetUpstreams()), banned, lapsed, status.GetRequests(), status.GetDropped())
	for _, service := range status.GetServices() {
		fmt.Fprintf(w, "%s %.0f ", service.GetName(), service.GetBudget())
	}
	fmt.Fprintln(w)
}

func fetchStatus(address string) (*wire.EntryStatus, error) {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+address+direct.PathStatus, statusLimit)
	if err != nil {
		return nil, &Error{Op: "status of " + address, Kind: KindCall, Err: err}
	}
	if code != fasthttp.StatusOK {
		return nil, &Error{Op: "status of " + address, Kind: KindCall, Err: errs.New("status %d", code)}
	}
	status := &wire.EntryStatus{}
	if err := protojson.Unmarshal(body, status); err != nil {
		return nil, &Error{Op: "status of " + address, Kind: KindCall, Err: err}
	}
	return status, nil
}
