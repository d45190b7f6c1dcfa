package fakes

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
)

// LogBuffer keeps the log lines, as JSON, of what is tested.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds lines.
func (b *LogBuffer) Write(lines []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(lines)
}

// Count returns how often a text is in the lines.
func (b *LogBuffer) Count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.text.Bytes(), []byte(text))
}

// FirstLine returns the fields of the first line about a request, nil if there is none.
func (b *LogBuffer) FirstLine(t testing.TB, id string) map[string]any {
	t.Helper()
	if lines := b.lines(t, id); len(lines) > 0 {
		return lines[0]
	}
	return nil
}

// LastLine returns the fields of the last line about a request, nil if there is none.
func (b *LogBuffer) LastLine(t testing.TB, id string) map[string]any {
	t.Helper()
	if lines := b.lines(t, id); len(lines) > 0 {
		return lines[len(lines)-1]
	}
	return nil
}

func (b *LogBuffer) lines(t testing.TB, id string) (found []map[string]any) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("cannot decode the line %q: %v", line, err)
		}
		if fields["request"] == id {
			found = append(found, fields)
		}
	}
	return found
}
