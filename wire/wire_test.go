package wire

import (
	"bufio"
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"

	"cactustide/config"
	"cactustide/setup"
)

// TestExamples checks that the example settings are valid for their roles.
func TestExamples(t *testing.T) {
	for _, role := range []string{setup.RoleEntry, setup.RoleAgent, setup.RoleCtl} {
		text, err := os.ReadFile("../examples/" + role + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseSettings(text)
		if err != nil {
			t.Fatal(err)
		}
		s.FillDefaults(func(string) string { return "" })
		if got := s.Check(role); len(got) != 0 {
			t.Errorf("%s: got %v, want no violation", role, got)
		}
	}
}

// TestDocumentRoundTrip checks that encoding and decoding lose no field.
func TestDocumentRoundTrip(t *testing.T) {
	text, err := os.ReadFile("../examples/document.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := ParseDocument(text)
	if err != nil {
		t.Fatal(err)
	}
	want.Generation, want.Change, want.Author = 7, "c", "me"
	data, err := EncodeDocument(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeDocument(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
	yaml, err := FormatDocument(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err = ParseDocument(yaml); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("through YAML: got %+v (%v), want %+v", got, err, want)
	}
}

// TestParseErrors checks that the error for invalid text names the key.
func TestParseErrors(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"unknown key":  {text: "presett: x", want: "presett"},
		"twice":        {text: "preset: a\npreset: b", want: "preset"},
		"duration":     {text: "classes: [{name: c, target: fast}]", want: "classes[0].target"},
		"wrong type":   {text: "classes: 3", want: "classes"},
		"not YAML":     {text: "a: [", want: "yaml"},
		"wrong number": {text: "classes: [{tier: high}]", want: "tier"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseDocument([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error naming %q", err, test.want)
			}
		})
	}
}

// FuzzDocument checks that any document that parses can be checked and formatted.
func FuzzDocument(f *testing.F) {
	text, _ := os.ReadFile("../examples/document.yaml")
	f.Add(text)
	f.Add([]byte("classes: [{wait: 1e999s}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ParseDocument(text)
		if err != nil {
			return
		}
		config.Check(d)
		d.Effective()
		if _, err := FormatDocument(d); err != nil {
			t.Errorf("got %v, want the document formatted", err)
		}
	})
}

// FuzzSettings checks that the parser and the checks do not panic.
func FuzzSettings(f *testing.F) {
	for _, role := range []string{"entry", "agent", "ctl"} {
		text, _ := os.ReadFile("../examples/" + role + ".yaml")
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		s, err := ParseSettings(text)
		if err != nil {
			return
		}
		s.FillDefaults(func(string) string { return "" })
		s.Check(setup.RoleEntry)
		s.Check(setup.RoleAgent)
	})
}

// FuzzEventCounter checks that the result does not depend on the chunk size.
func FuzzEventCounter(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte(": comment\r\ndata:[DONE]\r\ndata: x\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		var unsplit, split EventCounter
		unsplit.Add(text)
		size = max(1, size%16)
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			split.Add(rest[:n])
			rest = rest[n:]
		}
		if unsplit.Count != split.Count || unsplit.Done != split.Done {
			t.Errorf("got %d %v in chunks, want %d %v", split.Count, split.Done, unsplit.Count, unsplit.Done)
		}
	})
}

// FuzzFrame checks that reading frames does not panic.
func FuzzFrame(f *testing.F) {
	var b bytes.Buffer
	_ = WriteFrame(&b, &Frame{Kind: FrameKind_END, Run: Execution_DONE, State: &AgentState{Name: "a"}})
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			frame := &Frame{}
			if err := ReadFrame(r, frame); err != nil {
				return
			}
			AgentFromProto(frame.GetState())
		}
	})
}
