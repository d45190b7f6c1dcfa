package head

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// TestScan checks which heads are refused, and before which byte, however the bytes arrive.
func TestScan(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		text string
		// want is the kind of the error and rest the text from the refused byte on.
		want Kind
		rest string
	}{
		"whole":                         {text: ok + "A: b\r\nContent-Length: 2\r\n\r\n\x00 :"},
		"no reason":                     {text: "HTTP/1.1 404\r\n\r\n"},
		"lines without carriage return": {text: "HTTP/1.0 500 x\nA:b\n\nBad Name: x\r\n"},
		"empty line first":              {text: "\r\n" + ok + "\r\n"},
		"value with blanks and colons":  {text: ok + "A: b : c d\r\n\r\n"},
		"continued value":               {text: ok + "A: b\r\n c d: e\r\n\r\n"},
		"all bytes of a token":          {text: ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n"},
		"informational":                 {text: "HTTP/1.1 103 x\r\nA: b\r\n\r\n" + ok + "A: b\r\n\r\nbody body"},
		"not at its end":                {text: ok + "Bad"},
		"status 000":                    {text: "HTTP/1.1 000 x\r\n\r\n", want: KindStatus, rest: " x\r\n\r\n"},
		"status 099":                    {text: "HTTP/1.1 099 x\r\n\r\n", want: KindStatus, rest: " x\r\n\r\n"},
		"status 101":                    {text: "HTTP/1.1 101 x\r\n\r\n", want: KindStatus, rest: " x\r\n\r\n"},
		"status 600, end of line":       {text: "HTTP/1.1 600\n\n", want: KindStatus, rest: "\n\n"},
		"two digits":                    {text: "HTTP/1.1 20 x\r\n\r\n", want: KindStatus, rest: " x\r\n\r\n"},
		"four digits":                   {text: "HTTP/1.1 2000\r\n\r\n", want: KindStatus, rest: "0\r\n\r\n"},
		"sign":                          {text: "HTTP/1.1 +20 x\r\n\r\n", want: KindStatus, rest: "+20 x\r\n\r\n"},
		"two blanks":                    {text: "HTTP/1.1  200\r\n\r\n", want: KindStatus, rest: " 200\r\n\r\n"},
		"short line":                    {text: "HTTP\r\n\r\n", want: KindStatus, rest: "\r\n\r\n"},
		"blank in a name":               {text: ok + "A: b\r\nBad Name: x\r\n\r\n", want: KindName, rest: " Name: x\r\n\r\n"},
		"blank after a name":            {text: ok + "Content-Length : 2\r\n\r\n", want: KindName, rest: " : 2\r\n\r\n"},
		"control byte":                  {text: ok + "A\x01: b\r\n\r\n", want: KindName, rest: "\x01: b\r\n\r\n"},
		"byte beyond ASCII":             {text: ok + "A\xc3\xa4: b\r\n\r\n", want: KindName, rest: "\xc3\xa4: b\r\n\r\n"},
		"no name":                       {text: ok + ": b\r\n\r\n", want: KindName, rest: ": b\r\n\r\n"},
		"no colon":                      {text: ok + "Bad\r\n\r\n", want: KindName, rest: "\r\n\r\n"},
		"carriage return in a line":     {text: ok + "\rA: b\r\n\r\n", want: KindName, rest: "A: b\r\n\r\n"},
		"after an informational one":    {text: "HTTP/1.1 100 x\r\n\r\n" + ok + "Bad Name: x\r\n\r\n", want: KindName, rest: " Name: x\r\n\r\n"},
		"status after informational":    {text: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n", want: KindStatus, rest: " x\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				var s Scanner
				_, _ = s.Scan([]byte("HTTP/1.1 000 x")) // Reset forgets the response before.
				s.Reset()
				passed, err := 0, error(nil)
				for passed < len(test.text) && err == nil {
					var n int
					n, err = s.Scan([]byte(test.text[passed:min(passed+size, len(test.text))]))
					passed += n
				}
				var typed *Error
				if test.want == "" && err != nil || test.want != "" && (!errors.As(err, &typed) || typed.Kind != test.want) {
					t.Fatalf("parts of %d bytes: got error %v, want kind %q", size, err, test.want)
				}
				if got := test.text[passed:]; got != test.rest {
					t.Fatalf("parts of %d bytes: got %q refused, want %q", size, got, test.rest)
				}
				if n, again := s.Scan([]byte("x")); err != nil && (n != 0 || again == nil) {
					t.Fatalf("got %d bytes, error %v after a defect, want the error again", n, again)
				}
			}
		})
	}
}

// TestScanBounded checks that a name without end takes no memory, and that errors quote little of it.
func TestScanBounded(t *testing.T) {
	var s Scanner
	if _, err := s.Scan([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1<<20))); err != nil {
		t.Fatal(err)
	}
	if got := cap(s.name); got > 2*maxQuoted {
		t.Errorf("got %d bytes kept, want at most %d", got, 2*maxQuoted)
	}
	_, err := s.Scan([]byte(" "))
	if err == nil || len(err.Error()) > 3*maxQuoted {
		t.Errorf("got error %v, want a short one", err)
	}
	err = CheckNames(http.Header{strings.Repeat("x", 1<<10) + "\x00": {"a"}})
	if err == nil || len(err.Error()) > 3*maxQuoted {
		t.Errorf("got error %v, want a short one", err)
	}
}

// TestCheckStatus checks the statuses that a response can have.
func TestCheckStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 101: false, 103: true, 200: true, 418: true, 599: true, 600: false, 999: false} {
		if err := CheckStatus(status); (err == nil) != want {
			t.Errorf("got error %v for status %d, want it allowed: %v", err, status, want)
		}
	}
}
