package session

import (
	"bytes"
	"encoding/base64"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

func pos(t position.Term, l position.LSN) position.Position {
	return position.Position{Term: t, LSN: l}
}

func secret(b byte) []byte { return bytes.Repeat([]byte{b}, MinKeyBytes) }

func keyring(t *testing.T, active KeyID, keys ...Key) *Keyring {
	t.Helper()
	k, err := NewKeyring(active, keys)
	is.New(t).NoErr(err)
	return k
}

// Guards against a floor that decreases, is lost at a change of term, or leaks to another group.
func TestFloorsOnlyRise(t *testing.T) {
	is := is.New(t)
	var f Floors
	is.True(!f.Get("g").Known())
	is.True(f.Raise("g", pos(1, 10), OriginReadIndex))
	is.True(!f.Raise("g", pos(1, 9), OriginCommit))
	is.Equal(f.Get("g"), Floor{pos(1, 10), OriginReadIndex})
	is.True(!f.Raise("g", pos(1, 10), OriginCommit)) // the position stays, the origin becomes the stronger one
	is.Equal(f.Get("g"), Floor{pos(1, 10), OriginCommit})
	is.True(f.Raise("g", pos(2, 5), OriginCommit))
	is.True(!f.Raise("g", pos(1, 99), OriginReadIndex))
	is.Equal(f.Get("g"), Floor{pos(2, 5), OriginCommit})
	is.True(!f.Get("h").Known())
}

// Guards against clamping an acknowledged floor, which would serve a stale read, and against waiting forever for a
// position that was never acknowledged.
func TestResolve(t *testing.T) {
	h := position.History{{Term: 1, Start: 0}, {Term: 3, Start: 10}}
	for _, c := range []struct {
		floor Floor
		want  position.Position
		fault bool
	}{
		{Floor{pos(1, 10), OriginToken}, pos(1, 10), false},
		{Floor{pos(1, 11), OriginReadIndex}, pos(1, 10), false},
		{Floor{pos(1, 11), OriginToken}, pos(1, 11), true},
		{Floor{pos(1, 11), OriginCommit}, pos(1, 11), true},
		{Floor{pos(2, 12), OriginReadIndex}, pos(2, 10), false}, // a term that left nothing in the log
		{Floor{pos(3, 99), OriginToken}, pos(3, 99), false},     // the present term has no end yet
		{Floor{pos(4, 99), OriginToken}, pos(4, 99), false},     // a term that this log has not reached
	} {
		is := is.New(t)
		got, fault := Resolve("g", c.floor, h)
		is.Equal(got, c.want)
		is.Equal(fault != nil, c.fault)
		if fault != nil {
			is.Equal(fault.EndLSN, position.LSN(10))
			is.True(strings.Contains(fault.Error(), "1/11"))
		}
	}
}

// Guards against a token that does not round-trip or exceeds its size limit.
func TestTokenRoundTrip(t *testing.T) {
	k := keyring(t, 7, Key{7, secret(1)})
	name := rapid.StringN(0, MaxNameBytes, MaxNameBytes)
	rapid.Check(t, func(t *rapid.T) {
		want := Token{
			Group:    upstream.GroupID(name.Draw(t, "group")),
			Customer: name.Draw(t, "customer"),
			Position: pos(position.Term(rapid.Uint64().Draw(t, "term")), position.LSN(rapid.Uint64().Draw(t, "lsn"))),
		}
		text, err := k.Encode(want)
		if err != nil || len(text) > MaxTokenBytes {
			t.Fatalf("%d bytes, error %v", len(text), err)
		}
		got, err := k.Decode(text, want.Customer, want.Group)
		if err != nil || got != want {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

// Guards against accepting a token with a flipped bit, a truncated or extended token, or arbitrary text.
func TestTokenForged(t *testing.T) {
	is := is.New(t)
	k := keyring(t, 7, Key{7, secret(1)}, Key{6, secret(3)})
	text, err := k.Encode(Token{Group: "g", Customer: "c", Position: pos(3, 300)})
	is.NoErr(err)
	raw, err := base64.RawURLEncoding.DecodeString(text)
	is.NoErr(err)
	for i := range raw {
		for bit := range 8 {
			forged := bytes.Clone(raw)
			forged[i] ^= 1 << bit
			_, err := k.Decode(base64.RawURLEncoding.EncodeToString(forged), "c", "g")
			is.True(err != nil)
		}
		_, err := k.Decode(base64.RawURLEncoding.EncodeToString(raw[:i]), "c", "g")
		is.True(err != nil)
	}
	_, err = k.Decode(text+"AAAA", "c", "g")
	is.True(err != nil)
	_, err = k.Decode(strings.Repeat("A", MaxTokenBytes+1), "c", "g")
	is.True(errors.Is(err, ErrTokenMalformed))
}

// Guards against a panic on, or acceptance of, any text other than the token itself.
func FuzzTokenDecode(f *testing.F) {
	k, _ := NewKeyring(7, []Key{{7, secret(1)}})
	valid, _ := k.Encode(Token{Group: "g", Customer: "c", Position: pos(3, 300)})
	for _, seed := range []string{valid, "", "AQ", "=", valid[1:], valid[:len(valid)-1], valid + "A", strings.Repeat("_", MaxTokenBytes)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := k.Decode(text, "c", "g"); (err == nil) != (text == valid) {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

// Guards against a token that is valid for another customer or group or becomes invalid during a key rotation, and
// against fleet keys that are too short, duplicate or missing.
func TestTokenScopeAndRotation(t *testing.T) {
	is := is.New(t)
	k1, k2 := Key{1, secret(1)}, Key{2, secret(2)}
	before, during, after := keyring(t, 1, k1), keyring(t, 2, k1, k2), keyring(t, 2, k2)
	text, err := before.Encode(Token{Group: "g", Customer: "c", Position: pos(1, 1)})
	is.NoErr(err)
	_, err = during.Decode(text, "c", "g")
	is.NoErr(err)
	_, err = after.Decode(text, "c", "g")
	is.True(errors.Is(err, ErrTokenKey))
	_, err = during.Decode(text, "d", "g")
	is.True(errors.Is(err, ErrTokenCustomer))
	_, err = during.Decode(text, "c", "h")
	is.True(errors.Is(err, ErrTokenGroup))
	_, err = keyring(t, 1, Key{1, secret(9)}).Decode(text, "c", "g")
	is.True(errors.Is(err, ErrTokenSignature))
	_, err = before.Encode(Token{Group: "g", Customer: strings.Repeat("c", MaxNameBytes+1)})
	is.True(err != nil)
	for _, keys := range [][]Key{{}, {{1, secret(1)[1:]}}, {{1, secret(1)}, {1, secret(2)}}, {{2, secret(1)}}} {
		_, err := NewKeyring(1, keys)
		is.True(err != nil)
	}
}

func BenchmarkToken(b *testing.B) {
	k, _ := NewKeyring(1, []Key{{1, secret(1)}})
	t := Token{Group: "dispatch", Customer: "furnaces", Position: pos(3, 1<<40)}
	text, _ := k.Encode(t)
	for name, f := range map[string]func(){
		"encode": func() { _, _ = k.Encode(t) },
		"decode": func() { _, _ = k.Decode(text, t.Customer, t.Group) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}
