package fakes

import "strconv"

// invalidStatuses are statuses that no response has.
var invalidStatuses = []string{"000", "099", "101", "600", "999"}

// BrokenHeads returns responses by name whose head has one defect: a status that no response has. Each comes with a length, with chunks, without
// either and as an event stream. But for the defect they carry fields (lines of the head, each
// with its end) and a body.
func BrokenHeads(fields, body string) map[string]string {
	length := strconv.Itoa(len(body))
	framings := map[string]string{
		"length":   "Content-Length: " + length + "\r\n\r\n" + body,
		"chunks":   "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n",
		"unframed": "\r\n" + body,
		"stream":   "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: [DONE]\n\n",
	}
	sound := "HTTP/1.1 200 OK\r\n" + fields + framings["length"]
	responses := map[string]string{}
	for _, status := range invalidStatuses {
		responses["status "+status+", before a response"] = "HTTP/1.1 " + status + " Unknown\r\n\r\n" + sound
	}
	for framing, rest := range framings {
		for _, status := range invalidStatuses {
			responses["status "+status+", "+framing] = "HTTP/1.1 " + status + " Unknown\r\n" + fields + rest
		}
	}
	return responses
}
