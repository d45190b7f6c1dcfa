package cmds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"cactustide/burn"
	"cactustide/entry"
	"cactustide/usage"
	"cactustide/wire"
)

// newReportCommands returns the read-only commands.
func newReportCommands(c *ctlOptions) []command {
	return []command{newStatus(c), newUsage(c), newBurn(c)}
}

// entryStatus is an entry's status, or in Fault the error of reading it. Its fields
// are printed as JSON.
type entryStatus struct {
	Admin string
	Fault string
	entry.Status
}

func newStatus(c *ctlOptions) command {
	parser := newSubcommand("status", "prints the state of every entry and agent")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		var statuses []entryStatus
		code := ExitOK
		for _, address := range x.settings.AdminAddresses {
			s := entryStatus{Admin: address}
			if err := x.fetchJSON(address, entry.PathStatus, &s.Status); err != nil {
				s.Fault = err.Error()
				code = ExitFailed
			}
			statuses = append(statuses, s)
		}
		if printCode := x.printStatus(statuses); printCode != ExitOK {
			return printCode
		}
		return code
	})}
}

func (x *session) printStatus(statuses []entryStatus) int {
	return x.print(statuses, "ENTRY\tAGENT\tCENTRE\tSERVES\tGENERATION\tPRESET\tREADY\tSLOTS\tRUNNING\tQUEUED BY CLASS\tDRAIN\tSUSPECTS\tAGE", func(w *tabwriter.Writer) {
		for _, s := range statuses {
			if s.Fault != "" {
				fmt.Fprintf(w, "%s: %s\n", s.Admin, s.Fault)
				continue
			}
			fmt.Fprintf(w, "%s\t\t%s\t\t%d\t%s\t%v\t\t\t\t\t\t\n", s.Name, s.Centre, s.Generation, s.Preset, s.Ready)
			for _, a := range s.Agents {
				fmt.Fprintf(w, "\t%s\t%s\t%s\t%d\t%s\t%v\t%d\t%d\t%v\t%v\t%d\t%s\n", a.Name, a.Centre, a.Model+a.Service,
					a.Generation, a.Preset, a.Healthy, a.Slots, a.Running, formatQueues(a.Queued), a.Drain, a.Suspects, formatAge(a.Age))
			}
		}
	})
}

// formatQueues formats queue lengths by class, such as "brief 3, lookup 1".
func formatQueues(queued map[string]int32) string {
	if len(queued) == 0 {
		return "-"
	}
	var parts []string
	for _, class := range slices.Sorted(maps.Keys(queued)) {
		parts = append(parts, fmt.Sprintf("%s %d", class, queued[class]))
	}
	return strings.Join(parts, ", ")
}

func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "unreachable"
	}
	return fmt.Sprintf("%dms", milliseconds)
}

func newUsage(c *ctlOptions) command {
	parser := newSubcommand("usage", "prints requests and tokens by partner, team and class")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		pairs, err := x.platform.List(x.settings.Prefix + wire.UsagePrefix)
		if err != nil {
			return x.fail(err, ExitPlatform)
		}
		var allCounters [][]usage.Counter
		for _, p := range pairs {
			_, counters, err := wire.DecodeUsage(p.Value)
			if err != nil {
				return x.fail(err, ExitFailed)
			}
			allCounters = append(allCounters, counters)
		}
		totals := usage.Aggregate(slices.Concat(allCounters...))
		return x.print(totals, "PARTNER\tTEAM\tCLASS\tOUTCOME\tREQUESTS\tATTAINED\tTOKENS\tWASTED", func(w *tabwriter.Writer) {
			for _, t := range totals {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", t.Partner, t.Team, t.Class, t.Outcome, t.Requests, t.Attained, t.Tokens, t.Wasted)
			}
		})
	})}
}

// burnRow is a class's burn rates over all entries, of 5 minutes (Short) and 1 hour
// (Long), and the fraction of its error budget that is left. Its fields are
// printed as JSON.
type burnRow struct {
	Class     string
	Objective float64
	Requests  int64
	Short     float64
	Long      float64
	Left      float64
}

func newBurn(c *ctlOptions) command {
	parser := newSubcommand("burn", "prints the error budget burn rates of each class")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		code := ExitOK
		var classes []string
		objectives := map[string]float64{}
		total := map[string]burn.Report{}
		for _, address := range x.settings.AdminAddresses {
			var statuses []entry.BurnStatus
			if err := x.fetchJSON(address, entry.PathBurn, &statuses); err != nil {
				fmt.Fprintln(x.err, err)
				code = ExitFailed
				continue
			}
			reports := map[string]burn.Report{}
			for _, s := range statuses {
				if _, ok := objectives[s.Class]; !ok {
					classes = append(classes, s.Class)
				}
				objectives[s.Class] = s.Objective
				reports[s.Class] = burn.Report{
					Class: s.Class,
					Short: burn.Window{Total: s.ShortTotal, Good: s.ShortGood},
					Long:  burn.Window{Total: s.LongTotal, Good: s.LongGood},
				}
			}
			total = burn.Sum(total, reports)
		}
		if printCode := x.printBurn(classes, objectives, total); printCode != ExitOK {
			return printCode
		}
		return code
	})}
}

func (x *session) printBurn(classes []string, objectives map[string]float64, total map[string]burn.Report) int {
	rows := []burnRow{}
	for _, class := range classes {
		r, objective := total[class], objectives[class]
		rows = append(rows, burnRow{
			Class:     class,
			Objective: objective,
			Requests:  r.Long.Total,
			Short:     r.Short.Rate(objective),
			Long:      r.Long.Rate(objective),
			Left:      r.Long.RemainingBudget(objective),
		})
	}
	return x.print(rows, "CLASS\tOBJECTIVE\tREQUESTS 1h\tBURN 5m\tBURN 1h\tBUDGET LEFT 1h", func(w *tabwriter.Writer) {
		for _, row := range rows {
			fmt.Fprintf(w, "%s\t%.3f\t%d\t%.2f\t%.2f\t%.0f%%\n", row.Class, row.Objective, row.Requests, row.Short, row.Long, 100*row.Left)
		}
	})
}
