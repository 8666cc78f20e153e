package home

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after the tests have closed their managers.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
