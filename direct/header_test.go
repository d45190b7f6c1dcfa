package direct_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestConnectionField guards against a request that reaches an upstream without its id, model or
// prompt, as the caller's Connection field names them, or with an id twice (UNASKED).
func TestConnectionField(t *testing.T) {
	s := newStack(t, 1)
	const sent = "Cactustide-Model: m\r\nCactustide-Token-Usage: 100,20\r\nCactustide-Prompt-Prefix: aa:60,bb:40\r\nX-Own: own\r\n"
	tests := map[string]struct {
		fields string
		status int
	}{
		"no field named":         {"Connection: keep-alive\r\n", http.StatusOK},
		"the id":                 {"Connection: Cactustide-Request-Id\r\n", http.StatusOK},
		"model, usage and parts": {"Connection: cactustide-model, Cactustide-Token-Usage,CACTUSTIDE-PROMPT-PREFIX\r\n", http.StatusOK},
		"several fields":         {"Connection: Cactustide-Model\r\nConnection: Cactustide-Request-Id\r\n", http.StatusOK},
		"the id twice":           {"Cactustide-Request-Id: ID\r\n", http.StatusOK},
		"two ids":                {"Cactustide-Request-Id: other\r\n", http.StatusBadRequest},
		"one for the connection": {"Connection: X-Own\r\n", http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := strings.ReplaceAll(name, " ", "-")
			conn, err := net.Dial("tcp", s.entries[0].settings.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			head := "POST /book/a HTTP/1.1\r\nHost: " + testHost + "\r\nCactustide-Request-Id: " + id + "\r\n" +
				strings.ReplaceAll(test.fields, "ID", id) + sent + "Authorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != test.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, test.status)
			}
			if want := test.status == http.StatusOK; s.runs(id) != 1 && want || s.runs(id) != 0 && !want {
				t.Fatalf("got %d runs, want one: %v", s.runs(id), want)
			}
			for _, r := range s.replicas {
				for _, run := range r.ExecutedRequests() {
					if run.ID != id {
						continue
					}
					for field, want := range map[string]string{
						"Cactustide-Request-Id": id, "Cactustide-Model": "m", "Cactustide-Token-Usage": "100,20", "Cactustide-Prompt-Prefix": "aa:60,bb:40",
					} {
						if got := run.Header.Values(field); len(got) != 1 || got[0] != want {
							t.Errorf("got %s %q at the upstream, want %q once", field, got, want)
						}
					}
					if got := run.Header.Get("X-Own"); (got == "") != strings.Contains(test.fields, "X-Own") {
						t.Errorf("got X-Own %q at the upstream", got)
					}
				}
			}
		})
	}
}
