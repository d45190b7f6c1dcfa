package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"cactustide/config"
)

// TestCheck runs the check subcommand on valid and invalid files.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		args   []string
		text   string
		want   int
		output string
	}{
		"document":     {text: "", args: []string{"check", "../examples/document.yaml"}, want: ExitOK, output: "no faults"},
		"settings":     {args: []string{"check", "--role", "agent", "../examples/agent.yaml"}, want: ExitOK, output: "no faults"},
		"unknown key":  {text: "colour: red", args: []string{"check"}, want: ExitInvalid, output: "colour"},
		"violation":    {text: "preset: x\nclasses: [{name: c, tier: 9}]", args: []string{"check"}, want: ExitInvalid, output: "classes[0].tier: 9 is not allowed; from 0 to 6"},
		"bad settings": {text: "name: x", args: []string{"check", "--role", "entry"}, want: ExitInvalid, output: "listen: "},
		"role":         {args: []string{"check", "--role", "king", "../examples/agent.yaml"}, want: ExitUsage, output: "king"},
		"no file":      {args: []string{"check", "nowhere.yaml"}, want: ExitInvalid, output: "nowhere.yaml"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			args := test.args
			if test.text != "" {
				file := filepath.Join(t.TempDir(), "file.yaml")
				if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, file)
			}
			var out bytes.Buffer
			got := Run(args, &out, &out)
			if got != test.want || !strings.Contains(out.String(), test.output) {
				t.Errorf("got %d %q, want %d with %q", got, out.String(), test.want, test.output)
			}
		})
	}
}

// TestSetShare checks that a share is set in the preset in force if that overrides
// it, otherwise in the partner.
func TestSetShare(t *testing.T) {
	d := &config.Document{
		Preset:   "peak",
		Presets:  []config.Preset{{Name: "peak", Shares: []config.Share{{Partner: "a", Share: 3}}}},
		Partners: []config.Partner{{Name: "a", Share: 1}, {Name: "b", Share: 1}},
	}
	setShare(d, "a", 5)
	setShare(d, "b", 6)
	if d.Presets[0].Shares[0].Share != 5 || d.Partners[0].Share != 1 || d.Partners[1].Share != 6 {
		t.Errorf("got %+v, want a's share in the preset and b's in the partner", d)
	}
}

// TestDiffLines checks that only lines that differ are returned, with - or +.
func TestDiffLines(t *testing.T) {
	tests := map[string]struct{ before, after, want []string }{
		"same":    {before: []string{"a"}, after: []string{"a"}},
		"changed": {before: []string{"a", "b", "c"}, after: []string{"a", "x", "c"}, want: []string{"- b", "+ x"}},
		"added":   {before: []string{"a"}, after: []string{"a", "b"}, want: []string{"+ b"}},
		"removed": {before: []string{"a", "b"}, after: []string{"b"}, want: []string{"- a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := diffLines(test.before, test.after); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
