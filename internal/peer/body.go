package peer

import (
	"encoding/binary"
	"io"
	"net/http"
)

// envelopeHeader is the size of the flags and the length that start each message of a connect stream.
const envelopeHeader = 5

// roundTripper makes the request bodies of streams arrive in whole messages. connect writes the header and the body of
// a message apart, and HTTP/2 would send each as a frame, and a TCP segment, of its own.
type roundTripper struct{ *Transport }

// Do implements connect.HTTPClient.
func (t roundTripper) Do(r *http.Request) (*http.Response, error) {
	if r.ContentLength < 0 && r.Body != nil {
		r.Body = &messageBody{ReadCloser: r.Body}
	}
	return t.RoundTrip(r)
}

// messageBody joins the header of a message with as much of its body as fits.
type messageBody struct {
	io.ReadCloser
	// left is the number of bytes of the current message that were not read.
	left int
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	if b.left > 0 {
		n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
		b.left -= n
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
	b.left = int(binary.BigEndian.Uint32(p[1:envelopeHeader]))
	m, err := io.ReadFull(b.ReadCloser, p[envelopeHeader:min(len(p), envelopeHeader+b.left)])
	b.left -= m
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	return n + m, err
}
