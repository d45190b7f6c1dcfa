package config

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/errs"
)

func validDocument() *Document {
	return &Document{
		Preset:   "p",
		Presets:  []Preset{{Name: "p"}, {Name: "q", Shares: []Share{{Partner: "a", Share: 3}}, Tunes: []ClassOverride{{Class: "c", Floor: 0.2, Cap: 0.5}}}},
		Classes:  []Class{{Name: "c", Tier: 1, Target: time.Second, Wait: time.Second, Objective: 0.9, Floor: 0.1}},
		Partners: []Partner{{Name: "a", Share: 1, Teams: []Team{{Name: "t", Class: "c", Keys: []string{strings.Repeat("a", 64)}}}}},
		Services: []Service{{Name: "s", Once: []CallMatcher{{Method: "POST", Path: "/x"}}}},
	}
}

// TestCheck checks that each violation is reported with its key.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		edit func(d *Document)
		want string
	}{
		"valid":            {edit: func(*Document) {}},
		"no class":         {edit: func(d *Document) { d.Classes = nil }, want: "classes"},
		"tier":             {edit: func(d *Document) { d.Classes[0].Tier = 7 }, want: "classes[0].tier"},
		"target":           {edit: func(d *Document) { d.Classes[0].Target = 0 }, want: "classes[0].target"},
		"wait":             {edit: func(d *Document) { d.Classes[0].Wait = 48 * time.Hour }, want: "classes[0].wait"},
		"objective":        {edit: func(d *Document) { d.Classes[0].Objective = 1 }, want: "classes[0].objective"},
		"floors too dense": {edit: func(d *Document) { d.Classes[0].Floor = 0.51 }, want: "classes"},
		"preset's floors":  {edit: func(d *Document) { d.Presets[1].Tunes[0].Floor = 0.6 }, want: "presets[1].tunes"},
		"cap":              {edit: func(d *Document) { d.Classes[0].Cap = 2 }, want: "classes[0].cap"},
		"duplicate":        {edit: func(d *Document) { d.Classes = append(d.Classes, d.Classes[0]) }, want: "classes[1].name"},
		"share":            {edit: func(d *Document) { d.Partners[0].Share = 0 }, want: "partners[0].share"},
		"team's class":     {edit: func(d *Document) { d.Partners[0].Teams[0].Class = "x" }, want: "partners[0].teams[0].class"},
		"key":              {edit: func(d *Document) { d.Partners[0].Teams[0].Keys[0] = "secret" }, want: "partners[0].teams[0].keys[0]"},
		"preset":           {edit: func(d *Document) { d.Preset = "x" }, want: "preset"},
		"preset's partner": {edit: func(d *Document) { d.Presets[1].Shares[0].Partner = "x" }, want: "presets[1].shares[0].partner"},
		"rule":             {edit: func(d *Document) { d.Services[0].Once[0].Path = "x" }, want: "services[0].once[0].path"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			test.edit(d)
			violations := Check(d)
			got := ""
			if len(violations) > 0 {
				got = violations[0].Key
			}
			if got != test.want {
				t.Errorf("got %v, want first at %q", violations, test.want)
			}
		})
	}
}

// TestEffective checks that only the preset in force overrides the document.
func TestEffective(t *testing.T) {
	d := validDocument()
	if got := d.Effective().Partners[0].Share; got != 1 {
		t.Errorf("got share %v under p, want 1", got)
	}
	d.Preset = "q"
	e := d.Effective()
	if e.Partners[0].Share != 3 || e.Classes[0].Floor != 0.2 || d.Partners[0].Share != 1 {
		t.Errorf("got %+v %+v, want the overrides of q on a copy", e.Partners[0], e.Classes[0])
	}
}

var errNoReply = errors.New("no reply")

// fakeStore holds one document and can lose the effect or the reply of a write.
type fakeStore struct {
	current *Document
	version uint64
	// applies and replies state whether the next write takes effect and whether
	// its reply arrives.
	applies, replies bool
	// afterSwap runs after the next write, before its reply.
	afterSwap func()
}

func (f *fakeStore) store() Store {
	return Store{
		Read: func() (*Document, uint64, error) { return f.current, f.version, nil },
		Swap: func(d *Document, version uint64) (bool, error) {
			ok := version == f.version
			if ok && f.applies {
				f.current, f.version = d, f.version+1
			}
			if f.afterSwap != nil {
				f.afterSwap()
			}
			if !f.replies {
				return false, errNoReply
			}
			return ok, nil
		},
	}
}

// TestChange checks that accepted, conflicting and unknown changes are
// distinguished.
func TestChange(t *testing.T) {
	overwrite := func(f *fakeStore, id string, generations uint64) func() {
		return func() {
			d := validDocument()
			d.Generation, d.Change = f.current.Generation+generations, id
			f.current, f.version = d, f.version+generations
		}
	}
	tests := map[string]struct {
		applies, replies bool
		afterSwap        func(*fakeStore) func()
		before           func(*fakeStore) func()
		want             Kind
	}{
		"accepted":                      {applies: true, replies: true},
		"reply lost after the effect":   {applies: true},
		"write lost":                    {want: KindUnknown},
		"no effect, conflicting change": {afterSwap: func(f *fakeStore) func() { return overwrite(f, "theirs", 1) }, want: KindConflict},
		"effect unknown, then replaced": {applies: true, afterSwap: func(f *fakeStore) func() { return overwrite(f, "theirs", 1) }, want: KindUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := validDocument()
			first.Generation = 1
			f := &fakeStore{current: first, version: 1, applies: test.applies, replies: test.replies}
			if test.afterSwap != nil {
				f.afterSwap = test.afterSwap(f)
			}
			d, err := Change(f.store(), "mine", "me", func(d *Document) { d.Preset = "q" })
			got := Kind("")
			var typed *Error
			if errs.IsFunc(err, func(e error) bool { x, ok := e.(*Error); typed = x; return ok }) {
				got = typed.Kind
			}
			if got != test.want {
				t.Fatalf("got %v, want kind %q", err, test.want)
			}
			if err == nil && (d.Generation != 2 || f.current.Change != "mine") {
				t.Errorf("got generation %d of %s, want 2 of mine", d.Generation, f.current.Change)
			}
		})
	}
}

// TestAdoptIsMonotonic adopts generations from several goroutines in any order and
// checks that the one in force never decreases.
func TestAdoptIsMonotonic(t *testing.T) {
	var h Holder
	var wait sync.WaitGroup
	for g := range 8 {
		wait.Go(func() {
			last := uint64(0)
			for i := range 1000 {
				h.Adopt(&Document{Generation: uint64((i*7 + g*131) % 1000)})
				if got := h.Generation(); got < last {
					t.Errorf("got generation %d after %d", got, last)
				} else {
					last = got
				}
			}
		})
	}
	wait.Wait()
	if got := h.Generation(); got != 999 {
		t.Errorf("got generation %d at the end, want 999", got)
	}
}
