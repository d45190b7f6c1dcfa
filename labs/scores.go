package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// scoreEntry is a full score in the journal of the users' bench.
type scoreEntry struct {
	id, site string
	score    float64
	days     []scoreDay
}

type scoreDay struct {
	name, slot                     string
	worth, served, refused, failed float64
	// price is the largest price, cost its part of the worth, and prices their sum.
	price        string
	cost, prices float64
}

// meanWorth returns the mean worth of the days with trouble.
func (e *scoreEntry) meanWorth() float64 {
	sum, n := 0.0, 0
	for _, d := range e.days {
		if d.slot == "trouble" || d.slot == "scale" {
			sum += d.worth
			n++
		}
	}
	return sum / float64(max(1, n))
}

// newScores returns the command that prints scores from the journal as tables.
func newScores() command {
	parser := newSubcommand("scores", "prints scores of the users' bench from the journal as tables, so that no figure is typed")
	journal := "journal"
	var ids []string
	parser.String(&journal, "j", "journal", "directory of the journal")
	parser.StringSlice(&ids, "i", "id", "id of an entry, or its beginning; may be repeated")
	return command{parser: parser, run: func() error {
		if len(ids) == 0 {
			return errs.New("scores: no entry given; use --id, such as --id 9256247d")
		}
		for _, id := range ids {
			e, err := readScore(journal, id)
			if err != nil {
				return err
			}
			printScore(os.Stdout, e)
		}
		return nil
	}}
}

// readScore reads the entry whose id begins with a text.
func readScore(journal, id string) (*scoreEntry, error) {
	files, err := filepath.Glob(filepath.Join(journal, "*-"+id+"*.json"))
	if err != nil {
		return nil, errs.New("scores: %v", err)
	}
	if len(files) != 1 {
		return nil, errs.New("scores: %d entries of %s begin with %q, want one", len(files), journal, id)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return nil, errs.New("scores: %v", err)
	}
	return parseScore(text)
}

// parseScore decodes an entry. Of the standard days it takes those with a slot; the day
// drawn for one run alone has another name each time and is left out.
func parseScore(text []byte) (*scoreEntry, error) {
	var in struct {
		ID, Cmd, Site string
		Score         float64
		Days          []struct {
			Name, Slot              string
			G                       float64
			Served, Refused, Failed float64
			Prices                  [][]any
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, errs.New("scores: %v", err)
	}
	if in.Cmd != "score" {
		return nil, errs.New("scores: entry %s is of %q, want score", in.ID, in.Cmd)
	}
	e := &scoreEntry{id: in.ID, site: in.Site, score: in.Score}
	for _, d := range in.Days {
		if strings.HasPrefix(d.Name, "fresh") {
			continue
		}
		day := scoreDay{name: d.Name, slot: d.Slot, worth: d.G, served: d.Served, refused: d.Refused, failed: d.Failed}
		for _, p := range d.Prices {
			if len(p) < 3 {
				continue
			}
			name, _ := p[0].(string)
			cost, _ := p[2].(float64)
			day.prices += cost
			if cost > day.cost {
				day.price, day.cost = name, cost
			}
		}
		e.days = append(e.days, day)
	}
	slices.SortFunc(e.days, func(a, b scoreDay) int { return strings.Compare(a.name, b.name) })
	return e, nil
}

func printScore(w io.Writer, e *scoreEntry) {
	fmt.Fprintf(w, "%s (entry %s): score %.3f, mean worth of the days with trouble %.3f\n\n", e.site, e.id, e.score, e.meanWorth())
	fmt.Fprintln(w, "| day | worth | served | refused | failed | prices | largest price |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, d := range e.days {
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %s %.3f |\n", d.name, d.worth, d.served, d.refused, d.failed, d.prices, d.price, d.cost)
	}
	fmt.Fprintln(w)
}
