package fakes

import "strconv"

// Bytes of which one makes the head of a response invalid.
var (
	invalidStatuses = []string{"000", "099", "101", "600", "999"}
	invalidFields   = map[string]string{
		"a blank in a name":               "Bad Name: x",
		"a blank after a name":            "Bad-Name : x",
		"a blank after Content-Length":    "Content-Length : 2",
		"a blank after Transfer-Encoding": "Transfer-Encoding : chunked",
		"a tab in a name":                 "Bad\tName: x",
		"a zero byte in a name":           "Bad\x00Name: x",
		"a control byte in a name":        "Bad\x01Name: x",
		"an escape byte in a name":        "Bad\x1bName: x",
		"a carriage return in a name":     "Bad\rName: x",
		"a delete byte in a name":         "Bad\x7fName: x",
	}
)

// BrokenHeads returns responses by name whose head has one defect: a status that no response has,
// or a byte that the name of a field cannot have. Each comes with a length, with chunks, without
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
		for name, field := range invalidFields {
			responses[name+", "+framing] = "HTTP/1.1 200 OK\r\n" + fields + field + "\r\n" + rest
		}
	}
	for _, status := range []string{"404 Not Found", "500 Internal Server Error", "503 Service Unavailable"} {
		for _, name := range []string{"a blank in a name", "a blank after Content-Length", "a control byte in a name"} {
			responses[name+", status "+status[:3]] = "HTTP/1.1 " + status + "\r\n" + invalidFields[name] + "\r\n" + fields + framings["length"]
		}
	}
	responses["a blank in a name, informational"] = "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + sound
	return responses
}
