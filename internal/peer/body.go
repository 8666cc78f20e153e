package peer

import (
	"encoding/binary"
	"io"
	"net/http"
)

// envelopeHeader is the size of the flags and the length that precede each message of a connect stream.
const envelopeHeader = 5

// roundTripper makes reads of stream request bodies return whole messages. connect writes the header and the body of a
// message separately, and HTTP/2 would send each in a frame, and a TCP segment, of its own.
type roundTripper struct{ *Transport }

// Do implements connect.HTTPClient.
func (t roundTripper) Do(r *http.Request) (*http.Response, error) {
	if r.ContentLength < 0 && r.Body != nil {
		r.Body = &messageBody{ReadCloser: r.Body}
	}
	return t.RoundTrip(r)
}

// messageBody returns the header of a message together with as much of its body as fits.
type messageBody struct {
	io.ReadCloser
	// remaining is the number of unread bytes of the current message.
	remaining int
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	if b.remaining > 0 {
		n, err := b.ReadCloser.Read(p[:min(len(p), b.remaining)])
		b.remaining -= n
		return n, err
	}
	if len(p) < envelopeHeader {
		return 0, io.ErrShortBuffer
	}
	n, err := io.ReadFull(b.ReadCloser, p[:envelopeHeader])
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	if err != nil {
		return n, err
	}
	b.remaining = int(binary.BigEndian.Uint32(p[1:envelopeHeader]))
	m, err := io.ReadFull(b.ReadCloser, p[envelopeHeader:min(len(p), envelopeHeader+b.remaining)])
	b.remaining -= m
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	return n + m, err
}
