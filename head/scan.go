package head

import (
	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// part is the part of a response that a Scanner expects next.
type part int

const (
	partVersion part = iota
	partStatus
	partReason
	partLine
	partName
	partValue
	partBody
)

// versionBytes is the length of the version and the blank before the status, as in "HTTP/1.1 ".
const versionBytes = 9

// Scanner checks the head of a response while its bytes arrive, before a parser that does not
// report the defects. It also checks the final response after informational ones. It keeps
// a bounded number of bytes. The zero value expects a response.
type Scanner struct {
	next part
	// count is the number of bytes of the version or the status so far.
	count  int
	status int
	// name is the name of the field so far, at most maxQuoted bytes.
	name []byte
	// ended is set after the carriage return of an empty line.
	ended bool
	err   error
}

// Reset makes the scanner expect a response.
func (s *Scanner) Reset() { *s = Scanner{name: s.name[:0]} }

// Scan checks the next bytes and returns the number of them before a defect and its error. From
// the body on it accepts all bytes.
func (s *Scanner) Scan(p []byte) (int, error) {
	for i, b := range p {
		if s.next == partBody {
			break
		}
		if s.err == nil {
			s.err = s.scanByte(b)
		}
		if s.err != nil {
			return i, s.err
		}
	}
	return len(p), nil
}

func (s *Scanner) scanByte(b byte) error {
	switch s.next {
	case partVersion:
		return s.scanVersion(b)
	case partStatus:
		return s.scanStatus(b)
	case partLine:
		return s.scanLineStart(b)
	case partName:
		return s.scanName(b)
	default: // The reason or a value.
		if b == '\n' {
			s.next = partLine
		}
		return nil
	}
}

// scanVersion passes over the version, which the parser checks, and over empty lines before it.
func (s *Scanner) scanVersion(b byte) error {
	if b == '\r' || b == '\n' {
		if s.count > 0 {
			return statusError("")
		}
		return nil
	}
	if s.count++; s.count == versionBytes {
		s.next, s.count = partStatus, 0
	}
	return nil
}

func (s *Scanner) scanStatus(b byte) error {
	if s.count < 3 {
		s.name = append(s.name, b)
		if b < '0' || b > '9' {
			return statusError(string(s.name))
		}
		s.status = 10*s.status + int(b-'0')
		s.count++
		return nil
	}
	switch b {
	case ' ', '\r':
		s.next = partReason
	case '\n':
		s.next = partLine
	default:
		return statusError(string(append(s.name, b)))
	}
	return CheckStatus(s.status)
}

func statusError(text string) error {
	return &Error{Op: "check", Kind: KindStatus, Err: errs.New("%q is no status of a response", text)}
}

// scanLineStart handles the first byte of a line after the first one.
func (s *Scanner) scanLineStart(b byte) error {
	switch {
	case b == '\n':
		s.endHead()
		return nil
	case s.ended:
		return nameError(string([]byte{'\r', b}))
	case b == '\r':
		s.ended = true
		return nil
	case b == ' ' || b == '\t': // Continues the value of the line before; parsers agree on that.
		s.next = partValue
		return nil
	}
	s.next, s.name = partName, s.name[:0]
	return s.scanName(b)
}

// endHead expects the body, or the next head after that of an informational response.
func (s *Scanner) endHead() {
	informational := s.status < 200
	s.Reset()
	if !informational {
		s.next = partBody
	}
}

func (s *Scanner) scanName(b byte) error {
	if b == ':' && len(s.name) > 0 {
		s.next = partValue
		return nil
	}
	if len(s.name) < maxQuoted {
		s.name = append(s.name, b)
	}
	if b >= 0x80 || !httpguts.IsTokenRune(rune(b)) {
		return nameError(string(s.name))
	}
	return nil
}
