package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactustide/fakes"
)

var start = time.Unix(1000, 0)

// TestTable checks what is kept of streams.
func TestTable(t *testing.T) {
	one, two := Origin{Service: "s", Release: "v1"}, Origin{Service: "s", Release: "v2"}
	tests := map[string]struct {
		put   []Origin
		after time.Duration
		want  Origin
		known bool
	}{
		"none":                        {},
		"one":                         {put: []Origin{one}, want: one, known: true},
		"told twice":                  {put: []Origin{one, one}, want: one, known: true},
		"another release":             {put: []Origin{one, two}, known: true},
		"and the first one again":     {put: []Origin{one, two, one}, known: true},
		"another service":             {put: []Origin{one, {Service: "t", Release: "v1"}}, known: true},
		"not known at the begin":      {put: []Origin{{Service: "s"}}, want: Origin{Service: "s"}, known: true},
		"shortly before the end":      {put: []Origin{one}, after: Retention, want: one, known: true},
		"after the end":               {put: []Origin{one}, after: Retention + 1},
		"unknown, told by another":    {put: []Origin{{Service: "s"}, one}, known: true},
		"another service and release": {put: []Origin{one, {Service: "t", Release: "v9"}}, known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, o := range test.put {
				table.Put(start, 7, o)
			}
			table.Expire(start.Add(test.after))
			got, known := table.Find(start.Add(test.after), 7)
			if got != test.want || known != test.known {
				t.Errorf("got %+v, %v, want %+v, %v", got, known, test.want, test.known)
			}
		})
	}
}

// TestTableBound checks that the memory for streams is bounded and the last ones stay.
func TestTableBound(t *testing.T) {
	table := NewTable()
	for i := range uint64(2*MaxStreams + 5) {
		table.Put(start.Add(time.Duration(i)), i, Origin{Service: "s", Release: "v1"})
	}
	if got := table.Count(); got > MaxStreams || got < MaxStreams/2 {
		t.Errorf("got %d streams kept, want from half of %d to all", got, MaxStreams)
	}
	if _, ok := table.Find(start, 2*MaxStreams+4); !ok {
		t.Error("got the last stream forgotten, want it kept")
	}
}

// TestKey: callers of two teams may use the same id, and each only takes its own streams up.
func TestKey(t *testing.T) {
	keys := map[uint64]string{}
	for _, k := range [][2]string{{"one", "id"}, {"two", "id"}, {"", "id"}, {"one", ""}, {"one", "id2"}, {"o", "neid"}, {"a\nb", "c"}} {
		key := Key(k[0], k[1])
		if other, ok := keys[key]; ok {
			t.Errorf("got one key for %q and %q", k, other)
		}
		keys[key] = k[0] + "/" + k[1]
	}
}

// TestHolders guards against a stream whose origin nobody finds because the members changed
// since: of those that keep it, whoever is left is among those that are asked.
func TestHolders(t *testing.T) {
	const keep, ask = 3, 5
	var all []string
	for i := range 40 {
		all = append(all, fmt.Sprintf("10.0.0.%d:7", i))
	}
	ring := NewRing(all)
	counts := map[string]int{}
	for key := range uint64(2000) {
		key *= 0x9e3779b97f4a7c15 // Keys are hashes.
		kept := ring.Holders(key, keep)
		for _, address := range kept {
			counts[address]++
		}
		left := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == kept[0] || a == kept[1] })
		if asked := NewRing(left).Holders(key, ask); !slices.Contains(asked, kept[2]) {
			t.Fatalf("key %d: got %v asked after two of %v left, want the third", key, asked, kept)
		}
		joined := append(slices.Clone(all), "10.0.1.1:7", "10.0.1.2:7")
		if asked := NewRing(joined).Holders(key, ask); !slices.Contains(asked, kept[2]) || !slices.Contains(asked, kept[0]) {
			t.Fatalf("key %d: got %v asked after two came, want %v", key, asked, kept)
		}
	}
	for address, n := range counts {
		if mean := 2000 * keep / len(all); n < mean/2 || n > 2*mean {
			t.Errorf("got %d streams kept by %s, want about %d", n, address, mean)
		}
	}
	if got := NewRing(all[:2]).Holders(1, keep); len(got) != 2 {
		t.Errorf("got %v of two members, want both", got)
	}
	if got := NewRing(nil).Holders(1, keep); len(got) != 0 {
		t.Errorf("got %v of no members, want none", got)
	}
}

// TestReleases checks which releases count as those that may have begun a stream.
func TestReleases(t *testing.T) {
	const window = 10 * time.Second
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		first    bool
		play     func(r *Releases)
		now      float64
		want     []string
		complete bool
	}{
		"nothing seen":               {now: 5, play: func(*Releases) {}},
		"complete for the window":    {now: 10, want: []string{"v1"}, complete: true, play: func(r *Releases) { r.SetComplete(at(0), true); r.Observe(at(9), "s", "v1") }},
		"started within the window":  {now: 9, want: []string{"v1"}, play: func(r *Releases) { r.SetComplete(at(0), true); r.Observe(at(9), "s", "v1") }},
		"first start of the system":  {first: true, now: 3, want: []string{"v1"}, complete: true, play: func(r *Releases) { r.SetComplete(at(1), true); r.Observe(at(2), "s", "v1") }},
		"first start, registry late": {first: true, now: 6, want: []string{"v1"}, play: func(r *Releases) { r.SetComplete(at(3), true); r.Observe(at(4), "s", "v1") }},
		"first start, a gap": {first: true, now: 6, want: []string{"v1"}, play: func(r *Releases) {
			r.SetComplete(at(1), true)
			r.SetComplete(at(2), false)
			r.SetComplete(at(3), true)
			r.Observe(at(4), "s", "v1")
		}},
		"two releases": {now: 30, want: []string{"v1", "v2"}, complete: true, play: func(r *Releases) {
			r.SetComplete(at(0), true)
			r.Observe(at(21), "s", "v1")
			r.Observe(at(29), "s", "v2")
		}},
		"the old one left before": {now: 32, want: []string{"v2"}, complete: true, play: func(r *Releases) {
			r.SetComplete(at(0), true)
			r.Observe(at(21), "s", "v1")
			r.Observe(at(29), "s", "v2")
		}},
		"a gap within the window": {now: 30, want: []string{"v1"}, play: func(r *Releases) {
			r.SetComplete(at(0), true)
			r.SetComplete(at(21), false)
			r.SetComplete(at(22), true)
			r.Observe(at(29), "s", "v1")
		}},
		"of another service":          {now: 30, complete: true, play: func(r *Releases) { r.SetComplete(at(0), true); r.Observe(at(29), "other", "v1") }},
		"forgotten after a long time": {now: 700, complete: true, play: func(r *Releases) { r.SetComplete(at(0), true); r.Observe(at(1), "s", "v1"); r.Expire(at(700)) }},
		"an upstream that names no release": {now: 30, want: []string{"", "v1"}, complete: true, play: func(r *Releases) {
			r.SetComplete(at(0), true)
			r.Observe(at(29), "s", "v1")
			r.Observe(at(29), "s", "")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewReleases(start, test.first)
			test.play(r)
			got, complete := r.Within(at(test.now), "s", window)
			if !slices.Equal(got, test.want) || complete != test.complete {
				t.Errorf("got %q, complete %v, want %q, %v", got, complete, test.want, test.complete)
			}
		})
	}
}

// TestReleaseGaps guards against a release that counts as the only one although another one may
// have come and left unseen (ORDER), and against a record that says so.
func TestReleaseGaps(t *testing.T) {
	const window = 10 * time.Second
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		play                  func(r *Releases)
		now                   float64
		gap, listed, returned bool
		// since is that of a new record, kept that of one that was complete since the start.
		since, kept time.Time
		complete    time.Duration
	}{
		"none":                 {now: 30, play: func(*Releases) {}, since: at(1), kept: start, complete: 29 * time.Second},
		"skipped":              {now: 30, play: func(r *Releases) { r.RecordSkip(at(21)) }, gap: true, since: at(21), kept: start, complete: 9 * time.Second},
		"skipped long ago":     {now: 31, play: func(r *Releases) { r.RecordSkip(at(21)) }, since: at(21), kept: start, complete: 10 * time.Second},
		"listed":               {now: 30, play: func(r *Releases) { r.RecordListing(at(21), false) }, gap: true, listed: true, since: at(21), kept: at(21), complete: 9 * time.Second},
		"listed long ago":      {now: 31, play: func(r *Releases) { r.RecordListing(at(21), false) }, since: at(21), kept: at(21), complete: 10 * time.Second},
		"returned":             {now: 30, play: func(r *Releases) { r.RecordListing(at(21), true) }, gap: true, listed: true, returned: true, since: at(21), kept: at(21), complete: 9 * time.Second},
		"returned long ago":    {now: 31, play: func(r *Releases) { r.RecordListing(at(21), true) }, since: at(21), kept: at(21), complete: 10 * time.Second},
		"listed, then skips":   {now: 30, play: func(r *Releases) { r.RecordListing(at(2), false); r.RecordSkip(at(25)) }, gap: true, since: at(25), kept: at(2), complete: 5 * time.Second},
		"returned, then lists": {now: 30, play: func(r *Releases) { r.RecordListing(at(2), true); r.RecordListing(at(25), false) }, gap: true, listed: true, since: at(25), kept: at(25), complete: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := NewReleases(start, true)
			first.SetComplete(at(1), true)
			test.play(first)
			if _, complete := first.Within(at(test.now), "s", window); complete == test.gap {
				t.Errorf("got complete %v since the first start, want %v", complete, !test.gap)
			}
			r := NewReleases(start, false)
			r.SetComplete(at(1), true)
			test.play(r)
			_, complete := r.Within(at(test.now), "s", window)
			gap, listed, returned := !complete, r.Listed(at(test.now), window), r.Returned(at(test.now), window)
			if gap != test.gap || listed != test.listed || returned != test.returned {
				t.Errorf("got gap %v, listed %v, returned %v, want %v, %v, %v", gap, listed, returned, test.gap, test.listed, test.returned)
			}
			if got, ok := r.Begin(); !ok || !got.Since.Equal(test.since) {
				t.Errorf("got a new record since %v, %v, want %v", got.Since, ok, test.since)
			}
			if got := r.Continue(Record{Since: start, Releases: []string{"v1"}}); !got.Since.Equal(test.kept) || len(got.Releases) != 1 {
				t.Errorf("got the record %+v, want since %v", got, test.kept)
			}
			if got := r.CompleteFor(at(test.now)); got != test.complete {
				t.Errorf("got complete for %v, want %v", got, test.complete)
			}
		})
	}
}

// TestRecord guards against a record that lacks a release which may have begun a stream.
func TestRecord(t *testing.T) {
	tests := map[string]struct {
		record   []string
		recent   []string
		complete bool
		want     []string
	}{
		"new":                              {recent: []string{"v1"}, want: []string{"v1"}},
		"a release comes":                  {record: []string{"v1"}, recent: []string{"v1", "v2"}, complete: true, want: []string{"v1", "v2"}},
		"a release left long ago":          {record: []string{"v1", "v2"}, recent: []string{"v2"}, complete: true, want: []string{"v2"}},
		"the writer has just started":      {record: []string{"v1", "v2"}, recent: []string{"v2"}, want: []string{"v1", "v2"}},
		"the same":                         {record: []string{"v1"}, recent: []string{"v1"}, complete: true, want: []string{"v1"}},
		"nothing is registered for a time": {record: []string{"v1"}, want: []string{"v1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old := Record{Since: start, Releases: test.record}
			got := old.Update(test.recent, test.complete)
			if !slices.Equal(got.Releases, test.want) || !got.Since.Equal(start) {
				t.Errorf("got %+v, want %v since %v", got, test.want, start)
			}
			if got.Equal(old) != slices.Equal(test.record, test.want) {
				t.Errorf("got equal %v for %v and %v", got.Equal(old), test.record, test.want)
			}
		})
	}
	for name, test := range map[string]struct {
		since time.Time
		age   time.Duration
		want  bool
	}{
		"since ever":              {age: 0, want: true},
		"older than the window":   {since: start, age: 10*time.Second + clockSkew, want: true},
		"within the clocks' skew": {since: start, age: 10*time.Second + clockSkew - 1},
		"from the future":         {since: start, age: -time.Hour},
	} {
		if got := (Record{Since: test.since}).Covers(start.Add(test.age), 10*time.Second); got != test.want {
			t.Errorf("%s: got covers %v, want %v", name, got, test.want)
		}
	}
}

// TestRecordClockSet guards against a record that covers a time which it does not, as the clock of the
// entry that keeps or reads it was set (ORDER).
func TestRecordClockSet(t *testing.T) {
	const window = time.Minute
	begin := time.Now()
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	ahead := func(s int) time.Time { return fakes.StepClock(at(s), time.Hour) }
	behind := func(s int) time.Time { return fakes.StepClock(at(s), -time.Hour) }
	// written is the record as it is read from the store, without a monotonic clock.
	written := func(r Record) Record { return Record{Since: r.Since.Round(0), Releases: r.Releases} }
	begun := func(r *Releases) Record {
		record, _ := r.Begin()
		return written(record)
	}
	tests := map[string]struct {
		// keep returns the record that is kept, and what the entry that reads it knows.
		keep func() (Record, *Releases)
		// read is the clock of the one that reads, from is from when on the record covers the window,
		// seconds; 0 means never.
		read func(s int) time.Time
		from int
	}{
		"no clock": {read: at, from: 71, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			return begun(keeper), NewReleases(at(0), false)
		}},
		"the reader's, set ahead": {read: ahead, from: 71, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			return begun(keeper), NewReleases(at(0), false)
		}},
		"the reader's, set back": {read: behind, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			return begun(keeper), NewReleases(at(0), false)
		}},
		"the reader's, by less than two may differ": {
			read: func(s int) time.Time { return fakes.StepClock(at(s), -5*time.Second) }, from: 76,
			keep: func() (Record, *Releases) {
				keeper := NewReleases(at(0), false)
				keeper.SetComplete(at(1), true)
				return begun(keeper), NewReleases(at(0), false)
			},
		},
		"the reader's, set right from ahead": {read: at, from: 71, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			return begun(keeper), NewReleases(ahead(0), false)
		}},
		"the reader's, set right from behind": {read: at, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			return begun(keeper), NewReleases(behind(0), false)
		}},
		"the keeper's, set right before it begins the record": {read: at, from: 90, keep: func() (Record, *Releases) {
			keeper := NewReleases(behind(0), false)
			keeper.SetComplete(behind(1), true)
			keeper.SetComplete(at(20), true)
			return begun(keeper), NewReleases(at(0), false)
		}},
		"the keeper's, set right after it began the record": {read: at, from: 90, keep: func() (Record, *Releases) {
			keeper := NewReleases(behind(0), false)
			keeper.SetComplete(behind(1), true)
			record := begun(keeper)
			keeper.SetComplete(at(20), true)
			return written(keeper.Continue(record)), NewReleases(at(0), false)
		}},
		"the keeper's, set back before a gap": {read: at, from: 95, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			record := begun(keeper)
			keeper.SetComplete(behind(20), true)
			keeper.RecordListing(behind(25), false)
			return written(keeper.Continue(record)), NewReleases(at(0), false)
		}},
		"the keeper's, set back before it begins the record": {read: at, from: 95, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(behind(20), false)
			keeper.SetComplete(behind(25), true)
			return begun(keeper), NewReleases(at(0), false)
		}},
		"the keeper's, set ahead": {read: at, keep: func() (Record, *Releases) {
			keeper := NewReleases(at(0), false)
			keeper.SetComplete(at(1), true)
			record := begun(keeper)
			keeper.SetComplete(ahead(20), true)
			return written(keeper.Continue(record)), NewReleases(at(0), false)
		}},
		"the keeper's, set back to the right time": {read: at, from: 90, keep: func() (Record, *Releases) {
			keeper := NewReleases(ahead(0), false)
			keeper.SetComplete(ahead(1), true)
			keeper.SetComplete(at(20), true)
			return written(keeper.Continue(Record{Since: at(1)})), NewReleases(at(0), false)
		}},
		"the keeper's, a record since ever": {read: at, from: 30, keep: func() (Record, *Releases) {
			keeper := NewReleases(behind(0), false)
			keeper.SetComplete(behind(1), true)
			keeper.SetComplete(at(20), true)
			return written(keeper.Continue(Record{})), NewReleases(at(0), false)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			record, reader := test.keep()
			for s := 30; s < 300; s++ {
				want := test.from > 0 && s >= test.from
				if got := reader.Covers(test.read(s), record, window); got != want {
					t.Fatalf("got covers %v after %d s, want %v: since %v", got, s, want, record.Since.Sub(begin.Round(0)))
				}
			}
			if !reader.Covers(test.read(30), Record{}, window) {
				t.Error("got a record since ever that does not cover the window, want it to")
			}
		})
	}
}

// TestRecordStays guards against a record that is written again and again, as the clock of its keeper
// was set: each look at it must say the same.
func TestRecordStays(t *testing.T) {
	begin := time.Now()
	for name, step := range map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			keeper := NewReleases(begin, false)
			keeper.SetComplete(begin.Add(time.Second), true)
			record, _ := keeper.Begin()
			for i := range 100 {
				at := fakes.StepClock(begin.Add(time.Duration(20+i)*time.Second), step)
				keeper.SetComplete(at, true)
				if i == 0 {
					keeper.RecordListing(at, false)
				}
				next := keeper.Continue(record)
				if i > 0 && !next.Equal(record) {
					t.Fatalf("got since %v after %v in look %d, want the same", next.Since, record.Since, i)
				}
				record = next
			}
		})
	}
}

// TestSole checks that only one known release counts.
func TestSole(t *testing.T) {
	for name, test := range map[string]struct {
		list []string
		want string
	}{
		"none": {}, "one": {[]string{"v1"}, "v1"}, "twice": {[]string{"v1", "v1"}, "v1"}, "two": {[]string{"v1", "v2"}, ""},
		"not named": {[]string{""}, ""}, "one of them not named": {[]string{"", "v1"}, ""},
	} {
		if got, ok := Sole(test.list); got != test.want || ok != (test.want != "") {
			t.Errorf("%s: got %q, %v, want %q", name, got, ok, test.want)
		}
	}
}
