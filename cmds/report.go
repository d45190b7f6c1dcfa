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

// newReportCommands returns the commands that only read.
func newReportCommands(c *ctl) []command {
	return []command{newStatus(c), newUsage(c), newBurn(c)}
}

// entryStatus is one entry's status, or why there is none.
type entryStatus struct {
	Admin string
	Fault string
	entry.Status
}

func newStatus(c *ctl) command {
	parser := newSubcommand("status", "prints the state of every entry and agent")
	return command{parser: parser, run: c.with(func(x *session) int {
		var all []entryStatus
		code := ExitOK
		for _, address := range x.settings.AdminAddresses {
			s := entryStatus{Admin: address}
			if err := x.ask(address, entry.PathStatus, &s.Status); err != nil {
				s.Fault = err.Error()
				code = ExitFailed
			}
			all = append(all, s)
		}
		if printed := x.printStatus(all); printed != ExitOK {
			return printed
		}
		return code
	})}
}

func (x *session) printStatus(all []entryStatus) int {
	return x.print(all, "ENTRY\tAGENT\tCENTRE\tSERVES\tGENERATION\tPRESET\tREADY\tSLOTS\tRUNNING\tQUEUED BY CLASS\tDRAIN\tSUSPECTS\tAGE", func(w *tabwriter.Writer) {
		for _, s := range all {
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

// formatQueues formats queue lengths, such as "brief 3, lookup 1".
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
		return "silent"
	}
	return fmt.Sprintf("%dms", milliseconds)
}

func newUsage(c *ctl) command {
	parser := newSubcommand("usage", "prints requests and tokens by partner, team and class")
	return command{parser: parser, run: c.with(func(x *session) int {
		pairs, err := x.platform.List(x.settings.Prefix + wire.UsagePrefix)
		if err != nil {
			return x.fail(err, ExitPlatform)
		}
		var books [][]usage.Counter
		for _, p := range pairs {
			_, lines, err := wire.DecodeUsage(p.Value)
			if err != nil {
				return x.fail(err, ExitFailed)
			}
			books = append(books, lines)
		}
		lines := usage.Aggregate(slices.Concat(books...))
		return x.print(lines, "PARTNER\tTEAM\tCLASS\tOUTCOME\tREQUESTS\tATTAINED\tTOKENS\tWASTED", func(w *tabwriter.Writer) {
			for _, l := range lines {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", l.Partner, l.Team, l.Class, l.Outcome, l.Requests, l.Attained, l.Tokens, l.Wasted)
			}
		})
	})}
}

// burnLine is one class's burn over all entries.
type burnLine struct {
	Class     string
	Objective float64
	Requests  int64
	Short     float64
	Long      float64
	Left      float64
}

func newBurn(c *ctl) command {
	parser := newSubcommand("burn", "prints how fast each class uses up its error budget")
	return command{parser: parser, run: c.with(func(x *session) int {
		code := ExitOK
		var order []string
		objective := map[string]float64{}
		total := map[string]burn.Report{}
		for _, address := range x.settings.AdminAddresses {
			var lines []entry.BurnStatus
			if err := x.ask(address, entry.PathBurn, &lines); err != nil {
				fmt.Fprintln(x.err, err)
				code = ExitFailed
				continue
			}
			reports := map[string]burn.Report{}
			for _, l := range lines {
				if _, ok := objective[l.Class]; !ok {
					order = append(order, l.Class)
				}
				objective[l.Class] = l.Objective
				reports[l.Class] = burn.Report{
					Class: l.Class,
					Short: burn.Window{Total: l.ShortTotal, Good: l.ShortGood},
					Long:  burn.Window{Total: l.LongTotal, Good: l.LongGood},
				}
			}
			total = burn.Sum(total, reports)
		}
		if printed := x.printBurn(order, objective, total); printed != ExitOK {
			return printed
		}
		return code
	})}
}

func (x *session) printBurn(order []string, objective map[string]float64, total map[string]burn.Report) int {
	lines := []burnLine{}
	for _, class := range order {
		r, goal := total[class], objective[class]
		lines = append(lines, burnLine{
			Class:     class,
			Objective: goal,
			Requests:  r.Long.Total,
			Short:     r.Short.Rate(goal),
			Long:      r.Long.Rate(goal),
			Left:      r.Long.RemainingBudget(goal),
		})
	}
	return x.print(lines, "CLASS\tOBJECTIVE\tREQUESTS 1h\tBURN 5m\tBURN 1h\tBUDGET LEFT 1h", func(w *tabwriter.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%.3f\t%d\t%.2f\t%.2f\t%.0f%%\n", l.Class, l.Objective, l.Requests, l.Short, l.Long, 100*l.Left)
		}
	})
}
