//go:build mutants

package mutation

import (
	"os"
	"sync/atomic"
)

// Enabled reports whether this build can switch faults on.
const Enabled = true

// Variable is the environment variable that names the fault that is on from the start, for the modules' own tests.
const Variable = "CELERYSTEP_MUTANT"

var active atomic.Pointer[ID]

func init() { Set(ID(os.Getenv(Variable))) }

// On reports whether the fault is switched on.
func On(x ID) bool { return *active.Load() == x }

// Set switches one fault on and all others off; an empty ID switches all off.
func Set(x ID) { active.Store(&x) }
