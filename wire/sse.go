package wire

import "bytes"

var (
	eventPrefix = []byte("data:")
	endMarker   = []byte("[DONE]")
)

// maxLineBytes bounds the part of a line that Events keeps; longer lines count by
// their start.
const maxLineBytes = 64

// EventCounter counts the events of a server-sent event stream that arrives in
// pieces, and finds its end marker.
type EventCounter struct {
	// Count is the number of data events before the end marker.
	Count int64
	// Done means that the end marker was seen.
	Done bool

	line []byte
}

// Add takes the next piece of the stream.
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
