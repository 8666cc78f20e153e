package router

import (
	"fmt"
	"strings"
)

var reasonNames = [...]string{
	ReasonNone:            "none",
	ReasonLeastLoaded:     "least_loaded",
	ReasonExplore:         "explore",
	ReasonOnlyReplica:     "only_replica",
	ReasonWrite:           "write",
	ReasonPreferPrimary:   "prefer_primary",
	ReasonRamp:            "ramp",
	ReasonNoReplica:       "no_replica",
	ReasonFencedReplica:   "fenced_replica",
	ReasonReplicasBusy:    "replicas_busy",
	ReasonFloorUnknown:    "floor_unknown",
	ReasonFloorNotReached: "floor_not_reached",
	ReasonAgeUnknown:      "age_unknown",
	ReasonPrimaryUnknown:  "primary_unknown",
	ReasonNoMember:        "no_member",
}

// String returns the name used in logs and audit records.
func (r Reason) String() string { return enumName(reasonNames[:], int(r)) }

var verdictNames = [...]string{
	VerdictNone:        "none",
	VerdictEligible:    "eligible",
	VerdictUnreachable: "unreachable",
	VerdictNoStatus:    "no_status",
	VerdictLeaving:     "leaving",
	VerdictDomainOut:   "domain_out",
	VerdictFenced:      "fenced",
	VerdictReplaced:    "replaced",
	VerdictBehindFloor: "behind_floor",
	VerdictAgeUnknown:  "age_unknown",
	VerdictTooOld:      "too_old",
	VerdictBusy:        "busy",
	VerdictNotPrimary:  "not_primary",
	VerdictRamping:     "ramping",
}

// String returns the name used in logs and audit records.
func (v Verdict) String() string { return enumName(verdictNames[:], int(v)) }

var outcomeNames = [...]string{
	OutcomeNone:    "none",
	OutcomeWait:    "wait",
	OutcomeReplica: "replica",
	OutcomePrimary: "primary",
}

// String returns the name used in logs and audit records.
func (o Outcome) String() string { return enumName(outcomeNames[:], int(o)) }

func enumName(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Explain formats the decision as key=value pairs for logs and the audit trail. c holds the candidates passed to Choose.
func (d *Decision) Explain(c []Candidate) string {
	var b strings.Builder
	fmt.Fprintf(&b, "outcome=%s reason=%s", d.Outcome, d.Reason)
	if d.Index >= 0 && d.Index < len(c) {
		fmt.Fprintf(&b, " member=%s", c[d.Index].Member)
	}
	for i := range c[:min(len(c), MaxCandidates)] {
		fmt.Fprintf(&b, " verdict.%s=%s", c[i].Member, d.Verdicts[i])
	}
	return b.String()
}
