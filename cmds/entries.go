package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cactustide/direct"
	"cactustide/platform"
	"cactustide/rules"
	"cactustide/wire"
)

// fetchTimeout bounds one request to an entry or to the store.
const fetchTimeout = 2 * time.Second

// newEntries returns the subcommand that prints the status of entries that forward
// directly to upstreams and compares their configurations.
func newEntries() command {
	parser := newSubcommand("entries", "prints the status of entries that forward directly to upstreams, and compares their configurations")
	var addresses []string
	var storeAddress string
	parser.StringSlice(&addresses, "a", "admin", "admin address of an entry; may be repeated")
	parser.String(&storeAddress, "s", "store", "address of the platform's store; also prints where the configuration in force differs from the stored one")
	return command{parser: parser, run: func(s streams) int {
		if len(addresses) == 0 {
			return s.fail(&Error{Op: "entries", Kind: KindMissing, Err: errs.New("no entry given; use --admin, such as --admin 10.0.0.1:8229")}, ExitUsage)
		}
		code := printEntries(s, addresses)
		if storeAddress == "" {
			return code
		}
		return max(code, printDifferences(s, addresses, storeAddress))
	}}
}

func printEntries(s streams, addresses []string) int {
	code := ExitOK
	versions := map[uint64]bool{}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "entry\tready\tversion\tage s\tstore era\tstore down s\tstore age s\twatches\tentries\tupstreams\tbanned\tlapsed\tleaving\tpaused\tlimited\trequests\tdropped lines\tbudget")
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
		fmt.Fprintln(s.out, "the entries have different configuration versions in force")
		code = ExitFailed
	}
	return code
}

func printEntry(w *tabwriter.Writer, status *wire.EntryStatus) {
	storeDown, storeAge, era := 0.0, 0.0, uint64(0)
	for _, p := range status.GetPrefixes() {
		era = max(era, p.GetEra())
		storeDown = max(storeDown, p.GetDown())
		storeAge = max(storeAge, p.GetAge())
	}
	banned, lapsed, leaving, paused, limited := 0, 0, 0, 0, 0
	for _, u := range status.GetUpstreams() {
		if u.GetBanned() {
			banned++
		}
		if u.GetLapsed() {
			lapsed++
		}
		if u.GetLeaving() != "" {
			leaving++
		}
		if u.GetPaused() > 0 {
			paused++
		}
		if u.GetRate().GetRate() > 0 {
			limited++
		}
	}
	fmt.Fprintf(w, "%s\t%v\t%d\t%.1f\t%d\t%.1f\t%.1f\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", status.GetName(), status.GetReady(), status.GetVersion(), status.GetAge(), era,
		storeDown, storeAge, status.GetWatcher(), status.GetEntries(), len(status.GetUpstreams()), banned, lapsed, leaving, paused, limited, status.GetRequests(), status.GetDropped())
	for _, service := range status.GetServices() {
		fmt.Fprintf(w, "%s %.0f ", service.GetName(), service.GetBudget())
	}
	fmt.Fprintln(w)
}

// printDifferences compares the configuration in force at each entry with the
// stored one.
func printDifferences(s streams, addresses []string, storeAddress string) int {
	stored, err := fetchStoredConfig(storeAddress)
	if err != nil {
		return s.fail(err, ExitFailed)
	}
	code := ExitOK
	for _, address := range addresses {
		inForce := &wire.RulesReply{}
		if err := fetchAdmin(address, direct.PathRules, inForce); err != nil {
			fmt.Fprintf(s.out, "%s: %v\n", address, err)
			code = ExitFailed
			continue
		}
		differences := diffLines(inForce.GetLines(), stored.Lines())
		if len(differences) == 0 {
			fmt.Fprintf(s.out, "%s: version %d in force, as in the store\n", address, inForce.GetVersion())
			continue
		}
		code = ExitFailed
		fmt.Fprintf(s.out, "%s: version %d in force, version %d in the store; - in force, + in the store\n%s\n",
			address, inForce.GetVersion(), stored.Version, strings.Join(differences, "\n"))
	}
	return code
}

// fetchStoredConfig reads the configuration from the platform's store.
func fetchStoredConfig(address string) (*rules.Document, error) {
	codec := platform.NewItemCodec()
	client := platform.NewStoreClient(address, func(string, bool) {})
	for _, prefix := range codec.Prefixes {
		list, _, err := client.List(prefix, fetchTimeout)
		if err != nil {
			return nil, &Error{Op: "read the store", Kind: KindCall, Err: err}
		}
		for _, item := range list {
			change, err := codec.Decode(item)
			if err != nil {
				return nil, &Error{Op: "read the store", Kind: KindCall, Err: err}
			}
			if change.Document != nil {
				return change.Document, nil
			}
		}
	}
	return nil, &Error{Op: "read the store", Kind: KindMissing, Err: errs.New("the store holds no configuration")}
}

func fetchStatus(address string) (*wire.EntryStatus, error) {
	status := &wire.EntryStatus{}
	return status, fetchAdmin(address, direct.PathStatus, status)
}

// fetchAdmin reads a message as JSON from an entry's admin address.
func fetchAdmin(address, path string, into proto.Message) error {
	op := "read " + path + " of " + address
	code, body, err := adminClient.GetTimeout(nil, "http://"+address+path, fetchTimeout)
	if err != nil {
		return &Error{Op: op, Kind: KindCall, Err: err}
	}
	if code != fasthttp.StatusOK {
		return &Error{Op: op, Kind: KindCall, Err: errs.New("status %d", code)}
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return &Error{Op: op, Kind: KindCall, Err: err}
	}
	return nil
}
