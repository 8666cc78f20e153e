package home

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive a closed manager.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
