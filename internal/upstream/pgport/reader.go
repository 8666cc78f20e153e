package pgport

import (
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
)

const (
	// readBytes is the size of a read-ahead buffer: large enough for many small answers, small enough for thousands of
	// idle connections.
	readBytes = 8 << 10
	// headerBytes is the size of a message's type and length.
	headerBytes = 5
	// maxMessageBytes bounds one message of a member.
	maxMessageBytes = 256 << 20
)

// messageReader hands out whole encoded messages and reads ahead, so that one system call may serve many of them.
type messageReader struct {
	r   io.Reader
	buf []byte
	// start and end bound the bytes that are read but not handed out.
	start, end int
}

func newMessageReader(r io.Reader) *messageReader {
	return &messageReader{r: r, buf: make([]byte, readBytes)}
}

// next returns the next message with its header, valid until the following call.
func (m *messageReader) next() ([]byte, error) {
	if err := m.fill(headerBytes); err != nil {
		return nil, err
	}
	n := 1 + int(binary.BigEndian.Uint32(m.buf[m.start+1:]))
	if n < headerBytes || n > maxMessageBytes {
		return nil, errors.Errorf("message of %d bytes", n)
	}
	if err := m.fill(n); err != nil {
		return nil, err
	}
	p := m.buf[m.start : m.start+n]
	m.start += n
	return p, nil
}

// buffered returns the number of bytes read ahead.
func (m *messageReader) buffered() int { return m.end - m.start }

// fill reads until n bytes are buffered. A stream that ends inside a message gives io.ErrUnexpectedEOF.
func (m *messageReader) fill(n int) error {
	if m.buffered() >= n {
		return nil
	}
	m.makeRoom(n)
	for m.buffered() < n {
		got, err := m.r.Read(m.buf[m.end:])
		m.end += got
		if m.buffered() >= n {
			return nil
		}
		if err != nil {
			if errors.Is(err, io.EOF) && m.buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// makeRoom moves the buffered bytes to the front of a buffer that holds n bytes. A buffer that grew for a large message
// is given up afterwards.
func (m *messageReader) makeRoom(n int) {
	size := max(n, readBytes, m.buffered())
	if len(m.buf) < n || len(m.buf) > readBytes && size == readBytes {
		b := make([]byte, size)
		m.end = copy(b, m.buf[m.start:m.end])
		m.buf, m.start = b, 0
		return
	}
	if m.start > 0 {
		m.end = copy(m.buf, m.buf[m.start:m.end])
		m.start = 0
	}
}
