package pgwire

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// headerBytes is the size of the type and the length that start each message.
const headerBytes = 5

// ErrTooLarge reports a message, or messages up to a Sync, above the limit of the reader.
var ErrTooLarge = errors.New("message is too large")

// ErrMalformed reports bytes that are no message of the protocol.
var ErrMalformed = errors.New("malformed message")

// Reader reads frontend messages. It keeps the messages of one exchange in one piece, so that they can be passed on as
// they are, and holds no buffer while it waits for the first byte of an exchange.
type Reader struct {
	conn  net.Conn
	raw   syscall.RawConn
	limit int
	// buffer holds the messages from start to pos, which were returned, and unread bytes from pos to end.
	buffer          *[]byte
	start, pos, end int
	// first receives the first byte from connections without a file descriptor.
	first [1]byte
	// attempt is the method value of tryRead, made once because each use of one allocates.
	attempt func(fd uintptr) bool
	readErr error
}

// NewReader returns a reader for the connection. limit bounds the bytes of one exchange.
func NewReader(conn net.Conn, limit int) *Reader {
	r := &Reader{conn: conn, limit: limit}
	r.attempt = r.tryRead
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// SetLimit changes the bound of one exchange.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Buffered reports whether bytes were read that Next has not returned.
func (r *Reader) Buffered() bool { return r.end > r.pos }

// Await waits for the first byte of an exchange. On a TCP connection it takes a buffer only for each attempt to read,
// so an idle connection holds none.
func (r *Reader) Await() error {
	if r.Buffered() {
		return nil
	}
	if r.raw == nil {
		return r.awaitByte()
	}
	r.readErr = nil
	if err := r.raw.Read(r.attempt); err != nil {
		return err
	}
	return r.readErr
}

// tryRead reads without blocking. It returns false when there is nothing to read, which makes the caller wait.
func (r *Reader) tryRead(fd uintptr) bool {
	b := getBuffer(minBuffer)
	for {
		n, err := syscall.Read(int(fd), *b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			putBuffer(b)
			return false
		case err != nil:
			r.readErr = errors.Wrap(err, "read")
		case n == 0:
			r.readErr = io.EOF
		default:
			r.buffer, r.start, r.pos, r.end = b, 0, 0, n
			return true
		}
		putBuffer(b)
		return true
	}
}

func (r *Reader) awaitByte() error {
	if _, err := io.ReadFull(r.conn, r.first[:]); err != nil {
		return err
	}
	r.buffer = getBuffer(minBuffer)
	(*r.buffer)[0] = r.first[0]
	r.start, r.pos, r.end = 0, 0, 1
	return nil
}

// Next returns the type and body of the next message. The body is valid until the next call of a method.
func (r *Reader) Next() (byte, []byte, error) {
	if err := r.fill(headerBytes); err != nil {
		return 0, nil, err
	}
	header := (*r.buffer)[r.pos:]
	kind := header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return kind, nil, errors.Wrapf(ErrMalformed, "length %d", length)
	}
	if err := r.fill(1 + length); err != nil {
		return kind, nil, err
	}
	body := (*r.buffer)[r.pos+headerBytes : r.pos+1+length]
	r.pos += 1 + length
	return kind, body, nil
}

// Exchange returns the messages that Next returned since the last Release, encoded. It is valid until the next call of a
// method.
func (r *Reader) Exchange() []byte {
	if r.buffer == nil {
		return nil
	}
	return (*r.buffer)[r.start:r.pos]
}

// Release ends an exchange. It gives the buffer back unless bytes of the next exchange are in it.
func (r *Reader) Release() {
	r.start = r.pos
	if r.Buffered() || r.buffer == nil {
		return
	}
	putBuffer(r.buffer)
	r.buffer = nil
	r.start, r.pos, r.end = 0, 0, 0
}

// fill makes n unread bytes available.
func (r *Reader) fill(n int) error {
	if r.end-r.pos >= n {
		return nil
	}
	if r.buffer == nil {
		if err := r.Await(); err != nil {
			return err
		}
	}
	if r.pos-r.start+n > r.limit+headerBytes {
		return ErrTooLarge
	}
	r.makeRoom(n)
	for r.end-r.pos < n {
		m, err := r.conn.Read((*r.buffer)[r.end:])
		r.end += m
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// makeRoom makes the buffer hold n bytes from pos on.
func (r *Reader) makeRoom(n int) {
	if r.pos+n <= len(*r.buffer) {
		return
	}
	old := r.buffer
	held := (*old)[r.start:r.end]
	needed := r.pos - r.start + n
	if needed > len(*old) {
		r.buffer = getBuffer(needed)
	}
	copy(*r.buffer, held)
	r.pos -= r.start
	r.end -= r.start
	r.start = 0
	if r.buffer != old {
		putBuffer(old)
	}
}

// Discard reads and drops up to n bytes that follow, so that the peer can finish sending and read an error.
func (r *Reader) Discard(n int) {
	n -= r.end - r.pos
	r.pos = r.end
	r.Release()
	_, _ = io.CopyN(io.Discard, r.conn, int64(max(n, 0)))
}
