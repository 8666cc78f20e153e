package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/jsoncheck"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that a question was not answered, an internal error, or findings of config check.
	ExitFailed = 1
	// ExitUsage means a mistake on the command line, or that config check cannot read its file or version.
	ExitUsage = 2
	// ExitInvalid means that the result of the change has mistakes; nothing was changed.
	ExitInvalid = 3
	// ExitConflict means that another change was made meanwhile; nothing was changed.
	ExitConflict = 4
	// ExitUnavailable means that the key-value service or too many instances did not answer; nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown means that the change may have been made.
	ExitUnknown = 6
	// ExitNotConfirmed means that the change was accepted and some instances did not confirm it in time.
	ExitNotConfirmed = 7
	// ExitBehind means that the key-value service holds an older version than is in force; nothing was changed.
	ExitBehind = 8
)

const exitHelp = "0 done, 1 failed, 2 wrong command line, 3 refused because of mistakes, 4 version conflict, " +
	"5 service not available, 6 outcome unknown, 7 accepted and not confirmed by all instances, " +
	"8 key-value service behind the version in force. With 2, 3, 4, 5 and 8 nothing was changed."

type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// refusedError reports a change that makes no sense for the present configuration.
type refusedError struct{ text string }

func (e *refusedError) Error() string { return e.text }

func refusef(format string, args ...any) error {
	return &refusedError{text: fmt.Sprintf(format, args...)}
}

// notConfirmedError names the instances that did not confirm an accepted change in time.
type notConfirmedError struct {
	version uint64
	missing []string
}

func (e *notConfirmedError) Error() string {
	return fmt.Sprintf("version %d is accepted, but these instances did not confirm it in time: %s",
		e.version, joinNames(e.missing))
}

// unreachedError reports that too few instances told their version in force.
type unreachedError struct {
	answered, listed int
	missing          []string
}

func (e *unreachedError) Error() string {
	return fmt.Sprintf("only %d of %d instances told their version in force; no answer from %s", e.answered, e.listed,
		joinNames(e.missing))
}

// advice returns the exit code of an error and what the operator can do.
func advice(err error) (code int, hint string) {
	var (
		usage     *usageError
		refused   *refusedError
		invalid   *config.InvalidError
		problems  jsoncheck.Problems
		conflict  *config.ConflictError
		down      *config.UnavailableError
		unreached *unreachedError
		unknown   *config.UnknownError
		behind    *config.BehindError
		missing   *notConfirmedError
		unrevoked *notRevokedError
		unread    *unreadableError
	)
	switch {
	case errors.As(err, &unread):
		return ExitUsage, "Nothing was checked."
	case errors.As(err, &usage):
		return ExitUsage, "See celerystepctl --help."
	case errors.As(err, &refused), errors.As(err, &invalid), errors.As(err, &problems):
		return ExitInvalid, "Nothing was changed."
	case errors.As(err, &conflict):
		return ExitConflict, "Nothing was changed. Look at the changes above and run the command again to apply yours on top."
	case errors.As(err, &unknown):
		return ExitUnknown, "The change may have been made. Run the command again with --operation-id " + unknown.OperationID +
			": it is made at most once."
	case errors.As(err, &behind):
		return ExitBehind, "Nothing was changed. Instances repair the service within seconds after they reach it."
	case errors.As(err, &unreached):
		return ExitUnavailable, "Nothing was changed. A newer version might be in force there; --accept-unreachable goes on."
	case errors.As(err, &down):
		return ExitUnavailable, "Nothing was changed. Traffic goes on without the service. In an emergency, " +
			"celerystepctl key withdraw --emergency works through any instance."
	case errors.As(err, &missing), errors.As(err, &unrevoked):
		return ExitNotConfirmed, "They get it when they can be reached again; see celerystepctl status and wait."
	}
	return ExitFailed, ""
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) int {
	code, hint := advice(err)
	if a.o.output == "json" {
		document, _ := json.Marshal(map[string]any{"error": err.Error(), "hint": hint, "exit_code": code})
		fmt.Fprintf(a.env.Err, "%s\n", document)
		return code
	}
	fmt.Fprintf(a.env.Err, "celerystepctl: %v\n", err)
	if hint != "" {
		fmt.Fprintln(a.env.Err, hint)
	}
	return code
}
