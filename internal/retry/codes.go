// Package retry classifies failed requests: their outcome, their SQLSTATE, and whether they may run again. It starts no
// goroutines and reads no clock; times and random numbers are passed in.
package retry

// SQLSTATE codes of errors that celerystep itself reports. The codes of an upstream's own errors pass through
// unchanged.
const (
	// CodeQueueDeadline refuses a request whose deadline passed in the queue (not run).
	CodeQueueDeadline = "57P05"
	// CodeRateLimited refuses a request that got no token before its deadline, or that found its queue full (not run).
	CodeRateLimited = "53400"
	// CodeUnavailable refuses a request that no home or member could take (not run).
	CodeUnavailable = "57P03"
	// CodeOutcomeUnknown reports that the request may have taken effect.
	CodeOutcomeUnknown = "08007"
	// CodeReadFailed reports a read whose answer was lost. A read has no effect, so repeating it is safe.
	CodeReadFailed = "08006"
	// CodeCanceled reports a request that its caller cancelled.
	CodeCanceled = "57014"
	// CodeShutdown ends a session between requests on a planned stop.
	CodeShutdown = "57P01"
	// CodeAuthentication refuses an unknown customer or a withdrawn key (not run).
	CodeAuthentication = "28000"
	// CodeNotAllowed refuses a customer on a route or group that it must not use (not run).
	CodeNotAllowed = "42501"
	// CodeUnsupported refuses a session feature that needs a dedicated connection (not run).
	CodeUnsupported = "0A000"
	// CodeTransactionLost refuses statements of a transaction whose connection was lost (not run).
	CodeTransactionLost = "25P02"
	// CodeProtocol refuses malformed frontend messages (not run).
	CodeProtocol = "08P01"
	// CodeAnswerTooLarge reports that, after a possible commit, the answer exceeded the buffer in which it is held
	// back.
	CodeAnswerTooLarge = "54000"
)
