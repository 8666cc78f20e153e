package request

// HoldsTransaction reports whether a session may be inside a transaction block after the result. before tells whether
// it was before the request, begins whether the request may have opened a block. When the status is not reported, a
// request that was not run changes nothing.
func (r *Result) HoldsTransaction(before, begins bool) bool {
	switch {
	case r.TxStatus != 0:
		return r.TxStatus != 'I'
	case r.Outcome == OutcomeNotRun:
		return before
	default:
		return before || begins
	}
}
