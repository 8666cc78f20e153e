package pgport

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// Guards against messages that are cut, merged or overwritten, whatever the sizes of messages and reads.
func TestMessageReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(8000, 30000)), 1, 30).Draw(t, "sizes")
		var stream []byte
		var want [][]byte
		for i, n := range sizes {
			m := append([]byte{byte('a' + i%26)}, binary.BigEndian.AppendUint32(nil, uint32(n+4))...)
			m = append(m, bytes.Repeat([]byte{byte(i)}, n)...)
			want = append(want, m)
			stream = append(stream, m...)
		}
		cut := rapid.IntRange(0, 3).Draw(t, "cut")
		var r io.Reader = bytes.NewReader(stream[:len(stream)-cut])
		if rapid.Bool().Draw(t, "half reads") {
			r = iotest.HalfReader(r)
		}
		reader := newMessageReader(r)
		for i, m := range want {
			got, err := reader.next()
			if cut > 0 && i == len(want)-1 {
				if !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("message cut by %d bytes: %v", cut, err)
				}
				return
			}
			if err != nil || !bytes.Equal(got, m) {
				t.Fatalf("message %d: got %d bytes, want %d: %v", i, len(got), len(m), err)
			}
		}
		if _, err := reader.next(); !errors.Is(err, io.EOF) {
			t.Fatalf("end: %v", err)
		}
	})
}
