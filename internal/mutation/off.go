//go:build !mutants

package mutation

// Enabled reports whether this build can switch faults on.
const Enabled = false

// On reports whether the fault is switched on; it never is in this build.
func On(ID) bool { return false }

// Set does nothing in this build.
func Set(ID) {}
