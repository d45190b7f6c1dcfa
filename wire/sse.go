package wire

import "bytes"

var (
	eventPrefix = []byte("data:")
	endMarker   = []byte("[DONE]")
)

// maxLineBytes is how much of a line is buffered; the rest of it is ignored.
const maxLineBytes = 64

// EventCounter counts the data events of a server-sent event stream that is
// passed in chunks, and detects its end marker.
type EventCounter struct {
	// Count is the number of data events before the end marker.
	Count int64
	// Done reports whether the whole event of the end marker was seen, with the empty line
	// that ends it.
	Done bool

	line []byte
	// marked is set from the line of the end marker on.
	marked bool
}

// Add processes the next chunk of the stream.
func (e *EventCounter) Add(chunk []byte) {
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			e.appendLine(chunk)
			return
		}
		e.appendLine(chunk[:end])
		e.endLine()
		chunk = chunk[end+1:]
	}
}

func (e *EventCounter) appendLine(data []byte) {
	free := maxLineBytes - len(e.line)
	e.line = append(e.line, data[:min(free, len(data))]...)
}

func (e *EventCounter) endLine() {
	if e.marked && len(bytes.TrimSpace(e.line)) == 0 {
		e.Done = true
	}
	data, ok := bytes.CutPrefix(e.line, eventPrefix)
	e.line = e.line[:0]
	if !ok || e.marked {
		return
	}
	if bytes.Equal(bytes.TrimSpace(data), endMarker) {
		e.marked = true
		return
	}
	e.Count++
}
