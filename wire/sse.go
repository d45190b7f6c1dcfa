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
	// Done reports whether the end marker was seen.
	Done bool

	line []byte
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
	data, ok := bytes.CutPrefix(e.line, eventPrefix)
	e.line = e.line[:0]
	if !ok || e.Done {
		return
	}
	if bytes.Equal(bytes.TrimSpace(data), endMarker) {
		e.Done = true
		return
	}
	e.Count++
}
