package head

import "github.com/zeebo/errs"

// part is the part of a response that a Scanner expects next.
type part int

const (
	partVersion part = iota
	partStatus
	partReason
	partLine
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
	// digits is the status so far as text.
	digits []byte
	err    error
}

// Reset makes the scanner expect a response.
func (s *Scanner) Reset() { *s = Scanner{digits: s.digits[:0]} }

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
		s.scanLineStart(b)
		return nil
	default: // The reason or a value.
		if b == '\n' {
			s.next = partLine
		}
		return nil
	}
}

// scanVersion passes over the version, and over empty lines before it.
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
		s.digits = append(s.digits, b)
		if b < '0' || b > '9' {
			return statusError(string(s.digits))
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
		return statusError(string(append(s.digits, b)))
	}
	return CheckStatus(s.status)
}

func statusError(text string) error {
	return &Error{Op: "check", Kind: KindStatus, Err: errs.New("%q is no status of a response", text)}
}

// scanLineStart handles the first bytes of a line after the first one.
func (s *Scanner) scanLineStart(b byte) {
	switch b {
	case '\n':
		s.endHead()
	case '\r':
	default:
		s.next = partValue
	}
}

// endHead expects the body, or the next head after that of an informational response.
func (s *Scanner) endHead() {
	informational := s.status < 200
	s.Reset()
	if !informational {
		s.next = partBody
	}
}
