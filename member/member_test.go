package member

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func record(i int, beat uint64) Record {
	return Record{Address: fmt.Sprintf("10.0.0.%d:1", i), Centre: "c", Process: uint64(100 + i), Beat: beat}
}

// TestVersion checks that the version changes with whatever a role is chosen from: members,
// their processes and data centres, and whether they are alive.
func TestVersion(t *testing.T) {
	down := record(2, 5)
	down.Down = true
	moved := record(2, 6)
	moved.Centre = "d"
	restarted := record(2, 6)
	restarted.Process++
	unnamed := record(2, 5)
	unnamed.Centre = ""
	tests := map[string]struct {
		first Record
		step  func(table *Table)
		want  bool
	}{
		"a higher number":             {record(2, 5), func(table *Table) { table.Merge(now, []Record{record(2, 6)}) }, false},
		"the same record":             {record(2, 5), func(table *Table) { table.Merge(now, []Record{record(2, 5)}) }, false},
		"an older record":             {record(2, 5), func(table *Table) { table.Merge(now, []Record{record(2, 4)}) }, false},
		"a new member":                {record(2, 5), func(table *Table) { table.Merge(now, []Record{record(3, 1)}) }, true},
		"down":                        {record(2, 5), func(table *Table) { table.Merge(now, []Record{down}) }, true},
		"restarted":                   {record(2, 5), func(table *Table) { table.Merge(now, []Record{restarted}) }, true},
		"in another data centre":      {record(2, 5), func(table *Table) { table.Merge(now, []Record{moved}) }, true},
		"data centre learnt later":    {unnamed, func(table *Table) { table.Merge(now, []Record{record(2, 6)}) }, true},
		"data centre heard later":     {unnamed, func(table *Table) { table.Hear(now, record(2, 6)) }, true},
		"heard of without its centre": {record(2, 5), func(table *Table) { r := record(2, 6); r.Centre = ""; table.Hear(now, r) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(record(1, 1))
			table.Merge(now, []Record{test.first})
			before := table.Version()
			test.step(table)
			if got := table.Version() != before; got != test.want {
				t.Errorf("got a change %v, want %v", got, test.want)
			}
		})
	}
}

// TestRefute: a process that hears that it is down, or that another process is at its
// address, raises its number beyond the report.
func TestRefute(t *testing.T) {
	down := record(1, 50)
	down.Down = true
	earlier := record(1, 70)
	earlier.Process++
	tests := map[string]struct {
		heard Record
		above uint64
	}{
		"down":               {down, 50 + downBeats},
		"an earlier process": {earlier, 70},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(record(1, 10))
			table.Merge(now, []Record{test.heard})
			if got := table.NextBeat().Beat; got <= test.above {
				t.Errorf("got number %d, want one above %d", got, test.above)
			}
			if got := table.Records(now, 5, 0); len(got) != 1 || got[0].Address != record(1, 0).Address || got[0].Down {
				t.Errorf("got news %+v, want the process itself", got)
			}
		})
	}
}

// TestDownReports checks which reports that a member is down hold.
func TestDownReports(t *testing.T) {
	report := func(beat uint64) Record {
		r := record(2, beat)
		r.Down = true
		return r
	}
	other := report(60)
	other.Process++
	tests := map[string]struct {
		heardAgo time.Duration
		report   Record
		after    []Record
		want     int
	}{
		"no later message":                   {2 * time.Second, report(50), nil, 1},
		"some messages behind":               {2 * time.Second, report(50 - downBeats), nil, 1},
		"far behind":                         {2 * time.Second, report(50 - downBeats - 1), nil, 2},
		"heard lately":                       {100 * time.Millisecond, report(50), nil, 2},
		"of another process":                 {2 * time.Second, other, nil, 2},
		"a message from before the report":   {2 * time.Second, report(50), []Record{record(2, 50+downBeats)}, 1},
		"the process has refuted the report": {2 * time.Second, report(50), []Record{record(2, 51+downBeats)}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(record(1, 1))
			table.Hear(now.Add(-test.heardAgo), record(2, 50))
			table.Merge(now, []Record{test.report})
			table.Merge(now, test.after)
			if got := table.Count(now); got != test.want {
				t.Errorf("got %d alive, want %d", got, test.want)
			}
		})
	}
}

// TestForeignAddresses: the table takes addresses of members alone, and a bounded number.
func TestForeignAddresses(t *testing.T) {
	table := New(record(1, 1))
	table.AddAddresses(now, []string{"", "host:1", "10.0.0.1", "10.0.0.1:1", "10.0.0.1:x", "[::1%eth0]:99999"})
	if got := len(table.Neighbours()); got != 0 {
		t.Errorf("got %d neighbours, want none", got)
	}
	for i := range maxMembers + 100 {
		table.AddAddresses(now, []string{fmt.Sprintf("10.%d.%d.2:1", i/250, i%250)})
	}
	if got := len(table.members); got != maxMembers {
		t.Errorf("got %d members, want at most %d", got, maxMembers)
	}
	if got := len(table.Neighbours()); got != Fanout {
		t.Errorf("got %d neighbours, want %d", got, Fanout)
	}
}
