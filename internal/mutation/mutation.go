// Package mutation names deliberate faults in the decision code. They show that the checks catch a breach of each
// guarantee of the design page (section 3). In normal builds On is the constant false, so that the compiler removes the
// faults; with the build tag mutants one of them can be switched on.
package mutation

// ID names one deliberate fault.
type ID string

// Faults, each with the guarantee that it breaks.
const (
	// IgnoreFloor (G1) routes reads without the session's floor.
	IgnoreFloor ID = "ignore-floor"
	// AcknowledgeWithoutQuorum (G2) acknowledges a commit that only the primary has.
	AcknowledgeWithoutQuorum ID = "acknowledge-without-quorum"
	// PromoteWithoutMajority (G2) promotes as soon as one member is fenced.
	PromoteWithoutMajority ID = "promote-without-majority"
	// SkipReset (G3) returns a connection to the pool with the transaction of an ended session.
	SkipReset ID = "skip-reset"
	// SkipCustomerTag (G4) leaves the previous customer's tag on a connection.
	SkipCustomerTag ID = "skip-customer-tag"
	// KeyToUpstream (G5) sends the caller's key to the upstream.
	KeyToUpstream ID = "key-to-upstream"
	// AcceptWithdrawnKeys (G6) finds keys that operators have withdrawn.
	AcceptWithdrawnKeys ID = "accept-withdrawn-keys"
	// FullBucket (G7) starts an unplanned home with full buckets.
	FullBucket ID = "full-bucket"
	// IgnoreAuthority (G7) admits without a confirmed claim.
	IgnoreAuthority ID = "ignore-authority"
	// IgnoreDomainOut (G8) gives new work to members of a failure domain that is out.
	IgnoreDomainOut ID = "ignore-domain-out"
	// ReuseUnfinished (G9) reuses a connection whose answer has not been read.
	ReuseUnfinished ID = "reuse-unfinished"
	// UnknownAsNotRun (G10) refuses a statement that may have run as not run.
	UnknownAsNotRun ID = "unknown-as-not-run"
	// RetryWrite (G11) repeats a write that may have run.
	RetryWrite ID = "retry-write"
	// IgnoreLeaving (G12) gives new work to leaving members.
	IgnoreLeaving ID = "ignore-leaving"
	// CutDrain (G13) ends a planned release without waiting for open transactions.
	CutDrain ID = "cut-drain"
	// AcceptLowerVersion (G14) lets a lower configuration version replace a higher one.
	AcceptLowerVersion ID = "accept-lower-version"
)

// Mutant is a deliberate fault with the guarantee that it breaks.
type Mutant struct {
	ID        ID
	Guarantee string
}

// All lists the faults in the order of the guarantees.
func All() []Mutant {
	return []Mutant{
		{IgnoreFloor, "G1"}, {AcknowledgeWithoutQuorum, "G2"}, {PromoteWithoutMajority, "G2"}, {SkipReset, "G3"},
		{SkipCustomerTag, "G4"}, {KeyToUpstream, "G5"}, {AcceptWithdrawnKeys, "G6"}, {FullBucket, "G7"},
		{IgnoreAuthority, "G7"}, {IgnoreDomainOut, "G8"}, {ReuseUnfinished, "G9"}, {UnknownAsNotRun, "G10"},
		{RetryWrite, "G11"}, {IgnoreLeaving, "G12"}, {CutDrain, "G13"}, {AcceptLowerVersion, "G14"},
	}
}
