package direct

import (
	"bufio"
	"io"
	"strings"
	"testing"
)

func TestEvents(t *testing.T) {
	s := &eventReader{reader: bufio.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"))}
	for _, want := range []struct {
		event, id string
		// more is whether another complete event is buffered.
		more bool
	}{{"id: 1\ndata: a\n\n", "1", true}, {"id: 2\r\ndata: b\r\n\r\n", "2", false}} {
		got, err := s.next()
		if err != nil || string(got) != want.event || eventID(got) != want.id {
			t.Errorf("got %q, id %s, error %v, want %q", got, eventID(got), err, want.event)
		}
		if s.hasBufferedEvent() != want.more {
			t.Errorf("after %q: got another event buffered %v, want %v", got, s.hasBufferedEvent(), want.more)
		}
	}
	if got, err := s.next(); err != io.EOF || len(s.partial) == 0 {
		t.Errorf("got %q, error %v, want the end within an event", got, err)
	}
}

func TestIsNewer(t *testing.T) {
	cases := map[string]struct {
		last, id string
		want     bool
	}{
		"first":            {"", "1", true},
		"next":             {"4", "5", true},
		"the same":         {"5", "5", false},
		"older":            {"10", "9", false},
		"without a number": {"5", "", true},
		"not a number":     {"x", "1", true},
	}
	for name, c := range cases {
		if got := isNewer(c.last, c.id); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := &eventReader{reader: bufio.NewReaderSize(strings.NewReader(text), 16)}
		total := 0
		for {
			event, err := s.next()
			if err != nil {
				break
			}
			if !strings.HasPrefix(text[total:], string(event)) {
				t.Fatalf("got %q at %d of %q, want the bytes unchanged", event, total, text)
			}
			total += len(event)
		}
	})
}
