package pgwire

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server, client
}

// TestReader guards against messages that are lost or mixed up when they are cut, joined, or larger than the buffer, on
// connections with and without a file descriptor.
func TestReader(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var stream []byte
	var sizes []int
	for range 300 {
		sizes = append(sizes, random.IntN(1<<random.IntN(15)))
		body := strings.Repeat("x", sizes[len(sizes)-1])
		stream, _ = (&pgproto3.CopyData{Data: []byte(body)}).Encode(stream)
	}
	near, far := net.Pipe()
	server, client := connect(t)
	for _, pair := range [][2]net.Conn{{near, far}, {server, client}} {
		go func() {
			for p := stream; len(p) > 0; {
				n := min(len(p), 1+random.IntN(9000))
				_, _ = pair[1].Write(p[:n])
				p = p[n:]
			}
			_ = pair[1].Close()
		}()
		r := NewReader(pair[0], 1<<20)
		rest := stream
		for i, size := range sizes {
			kind, body, err := r.Next()
			is.NoErr(err)
			is.Equal(kind, byte('d'))
			is.Equal(len(body), size)
			if i%3 == 0 {
				is.True(bytes.HasPrefix(rest, r.Exchange()))
				rest = rest[len(r.Exchange()):]
				r.Release()
			}
		}
		r.Release()
		_, _, err := r.Next()
		is.Equal(err, io.EOF)
		is.Equal(r.buffer, nil)
	}
}

// TestReaderLimit guards against callers who make the instance hold more than the limit.
func TestReaderLimit(t *testing.T) {
	is := is.New(t)
	for _, stream := range [][]byte{
		{'Q', 0, 0, 4, 5}, {'Q', 0x7f, 0xff, 0xff, 0xff}, {'Q', 0, 0, 0, 3}, {'Q', 0xff, 0xff, 0xff, 0xff},
		append(bytes.Repeat([]byte{'H', 0, 0, 0, 4}, 300), 'S', 0, 0, 0, 4),
	} {
		server, client := connect(t)
		_, err := client.Write(stream)
		is.NoErr(err)
		r := NewReader(server, 1024)
		for err == nil {
			_, _, err = r.Next()
		}
		is.True(errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed))
	}
}

// TestNegotiation guards against callers with a newer minor version or extensions, who must be told what is spoken.
func TestNegotiation(t *testing.T) {
	is := is.New(t)
	p, err := decodePacket(3<<16|2, []byte("user\x00u\x00_pq_.x\x00y\x00\x00"))
	is.NoErr(err)
	is.Equal(p.Negotiation().UnrecognizedOptions, []string{"_pq_.x"})
	is.Equal(p.Parameters, map[string]string{"user": "u"})
	p, err = decodePacket(3<<16, []byte("user\x00u\x00\x00"))
	is.NoErr(err)
	is.Equal(p.Negotiation(), nil)
}

// TestScanner guards against a count of messages that depends on how an answer is cut.
func TestScanner(t *testing.T) {
	is := is.New(t)
	answer := Append(nil, &pgproto3.ParseComplete{})
	answer = Append(answer, &pgproto3.DataRow{Values: [][]byte{[]byte("E1113"), nil}})
	answer = Append(answer, &pgproto3.CloseComplete{})
	answer = (&Error{Code: "22012", Message: "division by zero"}).Append(answer)
	answer = Append(answer, &pgproto3.EmptyQueryResponse{})
	for size := 1; size <= len(answer); size++ {
		var s Scanner
		for p := answer; len(p) > 0; p = p[min(size, len(p)):] {
			s.Scan(p[:min(size, len(p))])
		}
		is.Equal(s, Scanner{Bytes: len(answer), Parsed: 1, Closed: 1, Errors: 1, seen: 5, header: s.header})
		is.True(s.Whole())
		s.Scan([]byte{'D', 0, 0, 0, 9, 0})
		is.Equal(s.Partial(), 6)
		s.DropPartial()
		is.True(s.Whole())
	}
}

// FuzzPacket guards against start-up packets that crash, that read more than the packet, or that lose parameters.
func FuzzPacket(f *testing.F) {
	startup, _ := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "a.b", "database": "d", "celerystep.token": "t"},
	}).Encode(nil)
	ssl, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	gss, _ := (&pgproto3.GSSEncRequest{}).Encode(nil)
	cancel, _ := (&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}).Encode(nil)
	for _, seed := range [][]byte{
		startup, ssl, gss, cancel, nil, {0, 0, 0, 8, 0, 3, 0, 0}, {0, 0, 0, 9, 0, 3, 0, 0, 0}, {0xff, 0xff, 0xff, 0xff},
		{0, 0, 0, 11, 0, 3, 0, 2, 'a', 0, 0}, {0, 0, 0, 8, 0, 2, 0, 0}, []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bytes.NewReader(data)
		p, err := ReadPacket(in)
		if err != nil {
			return
		}
		if p.Kind != PacketStartup {
			return
		}
		var reference pgproto3.StartupMessage
		body := bytes.Clone(data[4 : len(data)-in.Len()])
		copy(body, []byte{0, 3, 0, 0})
		if err := reference.Decode(body); err != nil {
			if len(p.Parameters)+len(p.Extensions) > 0 {
				t.Fatalf("accepted what the reference refuses: %q: %v", data, err)
			}
			return
		}
		for name, value := range reference.Parameters {
			if got := p.Parameters[name]; got != value && !strings.HasPrefix(name, optionPrefix) {
				t.Fatalf("parameter %q: got %q, want %q", name, got, value)
			}
		}
	})
}
