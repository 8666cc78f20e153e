package local

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against a demo that breaks for newcomers, and against a directory that stays behind.
func TestDemo(t *testing.T) {
	for _, example := range []Example{ExampleKestrel, ExampleSwanWhistle} {
		is := is.New(t)
		s, err := Start(t.Context(), Options{Example: example})
		is.NoErr(err)
		var out, guide bytes.Buffer
		is.NoErr(s.describe(&guide))
		is.True(bytes.Contains(guide.Bytes(), []byte("group_fault('kill', '"+s.Database()+"-1')")))
		is.NoErr(s.Demo(t.Context(), &out))
		is.True(bytes.Contains(out.Bytes(), []byte("60 writes acknowledged, 120 reads through other instances, 0 stale")))
		is.True(bytes.Contains(out.Bytes(), []byte(s.Database()+"-2 leads in term 2")) || bytes.Contains(out.Bytes(), []byte(s.Database()+"-3 leads in term 2")))
		is.True(!bytes.Contains(out.Bytes(), []byte("warning:"))) // every instance told its records
		is.NoErr(s.Close(t.Context()))
		_, err = os.Stat(s.directory)
		is.True(os.IsNotExist(err))
	}
}
