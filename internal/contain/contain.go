// Package contain turns panics into errors. Goroutines that handle input from outside use it, so that one unexpected message
// fails one call or one connection instead of ending the process and the sessions of all its callers. Loops that own state
// do not: after a panic their state cannot be trusted, and the platform starts the process again.
package contain

import (
	"fmt"
	"runtime/debug"
	"strings"
)

// PanicError is the error of a function that panicked.
type PanicError struct {
	Value any
	// Stack is the stack trace of the panic.
	Stack string
}

// Error implements error. It has one line.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v; stack: %s", e.Value, strings.ReplaceAll(strings.TrimSpace(e.Stack), "\n", " | "))
}

// Err calls f and returns its error, or a *PanicError if it panics.
func Err(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	return f()
}
