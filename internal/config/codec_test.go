package config

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func encode(t testing.TB, c *Cluster) *Encoded {
	t.Helper()
	e, err := Encode(c, Root{Operator: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against an encoding that loses or reorders content, depends on the order of the input, or changes more than
// the chunk of the customer that was changed.
func TestEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.IntRange(1, 10).Draw(t, "groups")
		c := sample(groups, rapid.IntRange(1, 60).Draw(t, "customers"))
		c.Version, c.OperationID = 7, "op"
		first, err := Encode(c, Root{})
		if err != nil {
			t.Fatal(err)
		}
		shuffled := c.Clone()
		shuffled.Customers = rapid.Permutation(shuffled.Customers).Draw(t, "order")
		shuffled.Normalize()
		again, _ := Encode(shuffled, Root{})
		if again.Hash != first.Hash {
			t.Fatal("the encoding depends on the order of customers")
		}
		back, err := NewDecoder().Decode(first)
		if err != nil || len(Diff(c, back)) > 0 || len(Check(back)) > 0 || back.Version != 7 || back.OperationID != "op" {
			t.Fatalf("decoded %v with error %v", Diff(c, back), err)
		}
		back = back.Clone()
		back.Customers[rapid.IntRange(0, len(c.Customers)-1).Draw(t, "changed")].Keys[0].Withdrawn = true
		changed, _ := Encode(back, Root{})
		fresh := 0
		for h := range changed.Chunks {
			if first.Chunks[h] == nil {
				fresh++
			}
		}
		if fresh != 1 {
			t.Fatalf("one withdrawal changed %d chunks", fresh)
		}
	})
}

// Guards against damaged or missing chunks that come into force.
func TestDecodeRefusesDamage(t *testing.T) {
	is := is.New(t)
	c := sample(3, 10)
	c.Version = 1
	e := encode(t, c)
	for h, p := range e.Chunks {
		damaged := *e
		damaged.Chunks = map[Hash][]byte{}
		for k, v := range e.Chunks {
			damaged.Chunks[k] = v
		}
		damaged.Chunks[h] = append([]byte{p[0] ^ 1}, p[1:]...)
		_, err := NewDecoder().Decode(&damaged)
		is.True(err != nil)
		delete(damaged.Chunks, h)
		_, err = NewDecoder().Decode(&damaged)
		is.True(err != nil)
		fetch := func(context.Context, Hash) ([]byte, error) { return []byte("x"), nil }
		_, err = assemble(t.Context(), e.Bytes, damaged.Chunks, fetch)
		is.True(err != nil)
	}
	_, err := ParseRoot([]byte(`{"format": 2, "version": 1}`))
	is.True(err != nil) // a later format is left to later programs
}

// Guards against a summary or operator that changes the chunks: only the root may differ.
func TestEqualContentHasEqualChunks(t *testing.T) {
	is := is.New(t)
	c := sample(3, 10)
	a, err := Encode(c, Root{Operator: "a", UnixMS: 1})
	is.NoErr(err)
	b, err := Encode(c, Root{Operator: "b", UnixMS: 2})
	is.NoErr(err)
	is.True(a.Hash != b.Hash)
	is.Equal(a.Root.Chunks, b.Root.Chunks)
}
