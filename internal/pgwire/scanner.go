package pgwire

import "encoding/binary"

// Scanner follows the backend messages in an answer, however they are cut, and counts those that a session must know of.
type Scanner struct {
	// Bytes counts all bytes of the answer.
	Bytes int
	// Parsed and Closed count ParseComplete and CloseComplete; Errors counts ErrorResponse.
	Parsed, Closed, Errors int
	// left is the number of bytes missing from the body of the current message; have bytes of its header were seen.
	left, have int
	// seen is the number of bytes of the current message that were taken in.
	seen   int
	header [headerBytes]byte
}

// Reset prepares the scanner for the next answer.
func (s *Scanner) Reset() { *s = Scanner{} }

// Whole reports whether the answer ends with a whole message.
func (s *Scanner) Whole() bool { return s.left == 0 && s.have == 0 }

// Partial returns the number of bytes at the end of the answer that belong to a message that is not whole.
func (s *Scanner) Partial() int {
	if s.Whole() {
		return 0
	}
	return s.seen
}

// DropPartial forgets the message that is not whole.
func (s *Scanner) DropPartial() { s.left, s.have = 0, 0 }

// Scan takes in the next bytes of the answer.
func (s *Scanner) Scan(p []byte) {
	s.Bytes += len(p)
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, len(p))
			s.left -= n
			s.seen += n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.have:], p)
		s.have += n
		s.seen = s.have
		p = p[n:]
		if s.have == headerBytes {
			s.begin()
		}
	}
}

// begin notes a message whose header is complete.
func (s *Scanner) begin() {
	s.have = 0
	s.left = max(int(int32(binary.BigEndian.Uint32(s.header[1:])))-4, 0)
	switch s.header[0] {
	case '1':
		s.Parsed++
	case '3':
		s.Closed++
	case 'E':
		s.Errors++
	}
}
