package config

import (
	"fmt"
	"strings"

	"github.com/celerystep/celerystep/internal/jsoncheck"
)

// storePeer names the key-value service in errors.
const storePeer = "key-value service"

// UnavailableError reports that the key-value service did not answer. Nothing in force has changed.
type UnavailableError struct {
	Step string
	Err  error
}

// Error formats step, peer and cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("step=%s peer=%q: %v", e.Step, storePeer, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError reports that the answer to the replacement of the root was lost and could not be resolved in time: the
// change may be accepted, or become so. Repeating it with the same operation id is safe.
type UnknownError struct {
	OperationID string
	// Version is the number that the change has if it is accepted.
	Version uint64
	Err     error
}

// Error formats the operation and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("step=replace root peer=%q: operation %s may have made version %d: %v",
		storePeer, e.OperationID, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// ConflictError reports that the configuration is no longer the one that the change was made for. Nothing was changed.
type ConflictError struct {
	// Base is the version that the change was made for.
	Base uint64
	// Current is the root found instead.
	Current Root
	// Changes is the difference from Base to Current; nil when the store no longer keeps Base.
	Changes []Change
	// Overlap lists the objects that both this change and Changes touch.
	Overlap []string
}

// Error formats both versions and the differing changes.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("version conflict: the change was made for version %d, which is no longer present", e.Base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "version conflict: the change was made for version %d, but version %d by %s (operation %s) is present",
		e.Base, e.Current.Version, e.Current.Operator, e.Current.OperationID)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n  changed meanwhile: %s", c)
	}
	if len(e.Changes) == 0 {
		fmt.Fprintf(&b, "\n  the store no longer keeps version %d", e.Base)
	}
	for _, o := range e.Overlap {
		fmt.Fprintf(&b, "\n  changed by both: %s", o)
	}
	return b.String()
}

// BehindError reports that the store holds an older configuration than a daemon has in force. Nothing was changed. The
// daemons write the newer one back; a change is possible after that.
type BehindError struct {
	Stored  uint64
	InForce uint64
}

// Error formats both versions.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the key-value service holds version %d while version %d is in force; wait until the instances have repaired it",
		e.Stored, e.InForce)
}

// InvalidError reports a change whose result has mistakes. Nothing was changed.
type InvalidError struct {
	Problems []Problem
}

// Error lists the mistakes, one a line.
func (e *InvalidError) Error() string {
	return "the configuration has mistakes:\n" + jsoncheck.Problems(e.Problems).Error()
}
