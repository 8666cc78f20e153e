package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestVersion(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	code := Run(context.Background(), Environment{Out: &out, Err: &out}, []string{"--version"})
	is.Equal(code, 0)
	is.True(out.Len() > 1)
}
