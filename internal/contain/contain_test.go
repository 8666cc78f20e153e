package contain

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestErrReturnsErrorsAndPanics(t *testing.T) {
	is := is.New(t)
	failure := errors.New("failed")
	is.NoErr(Err(func() error { return nil }))
	is.Equal(Err(func() error { return failure }), failure)
	var none []error
	err := Err(func() error { return none[0] })
	var p *PanicError
	is.True(errors.As(err, &p))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.True(strings.Contains(err.Error(), "TestErrReturnsErrorsAndPanics"))
	is.True(!strings.Contains(err.Error(), "\n")) // one line of the log
}
