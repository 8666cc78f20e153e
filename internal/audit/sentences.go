package audit

import (
	"fmt"
	"strconv"
	"time"
)

// sentences explains each kind. What follows from an event is said as well, because the reader may not know it.
var sentences = map[Kind]func(*Record) string{
	KindFailoverStarted:    failoverStarted,
	KindFailoverPromoted:   failoverPromoted,
	KindFailoverFinished:   failoverFinished,
	KindFailoverFailed:     failoverFailed,
	KindSwitchoverFinished: switchoverFinished,
	KindHomeClaimed:        homeClaimed,
	KindHomeHandedOver:     homeHandedOver,
	KindHomeLost:           homeLost,
	KindTokenFault:         tokenFault,
	KindConfigChanged:      configChanged,
	KindPresetChanged:      presetChanged,
	KindKeyWithdrawn:       keyWithdrawn,
	KindDomainOut:          domainOut,
	KindDomainIn:           domainIn,
	KindKeyRevoked:         keyRevoked,
	KindConfigInForce:      configInForce,
	KindConfigBehind:       configBehind,
	KindConfigRepaired:     configRepaired,
	KindConfigFork:         configFork,
	KindConfigRejected:     configRejected,
	KindRefused:            refused,
	KindOutcomeUnknown:     outcomeUnknown,
	KindTrace:              traceOutcome,
	KindSessionsEnded:      sessionsEnded,
	KindInstanceDead:       instanceDead,
	KindIsolated:           isolated,
	KindIsolationEnded:     isolationEnded,
	KindLost:               lost,
}

// consequences says what follows from an event. It also completes the texts that come with records of these kinds.
var consequences = map[Kind]string{
	KindHomeClaimed:    "Connections of older generations are closed by the members",
	KindTokenFault:     "An acknowledged write may be lost: compare the members' logs. The primary serves the session",
	KindOutcomeUnknown: "It may have taken effect: look before it is repeated",
}

func failoverStarted(r *Record) string {
	s := begin("group %s: failover from primary %s started", r.Group, orUnknown(r.Input("primary")))
	s.addIf(" because %s", r.Cause)
	s.addIf(" (%s)", r.Input("evidence"))
	s.addIf("; it was silent for %s ms", r.Input("silence_ms"))
	s.addIf("; %s did not hear it either", r.Input("silent_replicas"))
	return s.add(". Writes wait until a new primary leads").end()
}

func failoverPromoted(r *Record) string {
	s := begin("group %s: %s was promoted in place of %s in term %d", r.Group, orUnknown(r.Input("to")),
		orUnknown(r.Input("from")), r.Term)
	s.addIf(" because %s", r.Cause)
	s.addIf("; its log ended at %s", r.Input("position"))
	s.addIf("; members fenced: %s", r.Input("fenced"))
	s.addIf("; passed over: %s", r.Input("passed_over"))
	return s.end()
}

func failoverFinished(r *Record) string {
	s := begin("group %s: failover finished, %s leads in term %d", r.Group, orUnknown(r.Input("primary")), r.Term)
	s.addIf(" after %s ms", r.Input("duration_ms"))
	return s.add(". Waiting writes go on").end()
}

func failoverFailed(r *Record) string {
	s := begin("group %s: failover stopped at step %s", r.Group, orUnknown(r.Input("step")))
	s.addIf(" at %s", r.Input("peer"))
	s.addIf(" because %s", r.Cause)
	s.addIf("; it is tried again after %s ms", r.Input("retry_ms"))
	return s.end()
}

func switchoverFinished(r *Record) string {
	s := begin("group %s: planned switchover from %s to %s in term %d", r.Group, orUnknown(r.Input("from")),
		orUnknown(r.Input("to")), r.Term)
	s.addIf(" asked for by operator %s", r.Operator)
	s.addIf(" because %s", r.Cause)
	s.addIf(", took %s ms", r.Input("duration_ms"))
	return s.add("; no request was refused for it").end()
}

func homeClaimed(r *Record) string {
	s := begin("%s became home of group %s with generation %d", r.Instance, r.Group, r.Generation)
	s.addIf(" because %s", r.Cause)
	s.addIf("; the home before was %s", r.Input("previous_owner"))
	s.addIf("; accepted by %s", r.Input("members"))
	return s.add(". %s", consequences[KindHomeClaimed]).end()
}

func homeHandedOver(r *Record) string {
	s := begin("%s handed group %s over to %s", r.Instance, r.Group, orUnknown(r.Input("to")))
	s.addIf(" because %s", r.Cause)
	s.addIf(" within %s ms", r.Input("duration_ms"))
	return s.end()
}

func homeLost(r *Record) string {
	s := begin("%s is no longer home of group %s", r.Instance, r.Group)
	s.addIf("; %s has a higher generation", r.Input("owner"))
	return s.addIf(" (%s)", r.Cause).end()
}

func tokenFault(r *Record) string {
	s := begin("group %s: a session token named position %s, beyond the start %s of the next term", r.Group,
		orUnknown(r.Input("token_position")), orUnknown(r.Input("term_start")))
	s.addIf(", customer %s", r.Customer)
	s.addIf(", trace %s", string(r.Trace))
	return s.add(". %s", consequences[KindTokenFault]).end()
}

// operator names who asked.
func operator(r *Record) string {
	if r.Operator == "" {
		return "an unknown operator"
	}
	return "operator " + r.Operator
}

func version(r *Record) string {
	if r.Version == 0 {
		return ""
	}
	return fmt.Sprintf(" (configuration version %d)", r.Version)
}

func configChanged(r *Record) string {
	return begin("%s changed the configuration: %s%s", operator(r), orUnknown(r.Input("change")), version(r)).end()
}

func presetChanged(r *Record) string {
	s := begin("%s switched the preset from %s to %s%s", operator(r), orUnknown(r.Input("from")),
		orUnknown(r.Input("to")), version(r))
	return s.add(". Rates, bursts and shares of the new preset apply to new and waiting requests").end()
}

func keyWithdrawn(r *Record) string {
	s := begin("%s withdrew key %s of customer %s%s", operator(r), orUnknown(r.Input("key")), r.Customer, version(r))
	return s.add(". Callers with this key are refused and its sessions end within 4 s").end()
}

func domainOut(r *Record) string {
	s := begin("%s took failure domain %s out%s", operator(r), orUnknown(r.Input("failure_domain")), version(r))
	return s.add(". It gets no new work after 4 s; homes and primaries in it move by planned switchover").end()
}

func domainIn(r *Record) string {
	s := begin("%s brought failure domain %s back%s", operator(r), orUnknown(r.Input("failure_domain")), version(r))
	return s.add(". Its share of reads grows from 10 %% to 100 %% over 10 s").end()
}

func keyRevoked(r *Record) string {
	s := begin("%s revoked key %s of customer %s as an emergency", operator(r), orUnknown(r.Input("key")), r.Customer)
	return s.add(". It spreads between the instances and is written to the key-value service when that answers").end()
}

func configInForce(r *Record) string {
	s := begin("%s put configuration version %d in force", r.Instance, r.Version)
	return s.addIf(", made by operator %s", r.Operator).addIf(" (operation %s)", r.Input("operation")).end()
}

func configBehind(r *Record) string {
	s := begin("the key-value service holds configuration version %s while version %d is in force",
		orUnknown(r.Input("stored_version")), r.Version)
	return s.add(". It was probably restarted from an old copy; the instances write the newer version back").end()
}

func configRepaired(r *Record) string {
	s := begin("%s wrote configuration version %d back to the key-value service", r.Instance, r.Version)
	return s.addIf(", which held version %s", r.Input("stored_version")).end()
}

func configFork(r *Record) string {
	s := begin("two configurations with version %d exist: %s is in force, %s is not", r.Version,
		orUnknown(r.Input("root")), orUnknown(r.Input("other_root")))
	s.add(". The key-value service lost an accepted change before an operator made another one")
	return s.add(". Compare them with celerystepctl config history and make the missing change again").end()
}

func configRejected(r *Record) string {
	s := begin("%s refused configuration version %d and keeps the one in force", r.Instance, r.Version)
	return s.addIf(": %s", r.Input("problem")).end()
}

// refusalCauses says in words why requests were refused.
var refusalCauses = map[string]string{
	RefusalRate:        "the customer was over its rate (53400)",
	RefusalDeadline:    "they waited in the queue until their deadline (57P05)",
	RefusalQueueFull:   "the customer's queue was full (53400)",
	RefusalUnavailable: "the group was not available (57P03)",
	RefusalIsolated:    "the instance was cut off from the key-value service and most peers (57P03)",
}

func refused(r *Record) string {
	cause, ok := refusalCauses[r.Cause]
	if !ok {
		cause = orUnknown(r.Cause)
	}
	s := begin("%s requests", orUnknown(r.Input("count")))
	if r.Input("count") == "1" {
		s = begin("1 request")
	}
	s.addIf(" of customer %s", r.Customer)
	s.addIf(" on group %s", string(r.Group))
	s.add(" refused within %s because %s. None of it was run", milliseconds(r.Input("window_ms")), cause)
	return s.addIf("; first traces: %s", r.Input("first_traces")).end()
}

func outcomeUnknown(r *Record) string {
	s := begin("the outcome of request %s is unknown (08007)", orUnknown(string(r.Trace)))
	s.addIf(", customer %s", r.Customer)
	s.addIf(", group %s", string(r.Group))
	s.addIf(", because %s", r.Cause)
	s.addIf("; the last step was %s", r.Input("step"))
	s.addIf(" at %s", r.Input("peer"))
	return s.add(". %s", consequences[KindOutcomeUnknown]).end()
}

// outcomes says in words what became of a request.
var outcomes = map[string]string{
	"done":    "was answered",
	"not_run": "was refused and not run",
	"unknown": "has an unknown outcome: it may have taken effect",
}

func traceOutcome(r *Record) string {
	what, ok := outcomes[r.Input("outcome")]
	if !ok {
		what = "has the outcome " + orUnknown(r.Input("outcome"))
	}
	s := begin("request %s", r.Trace)
	s.addIf(" of customer %s", r.Customer)
	s.addIf(" on group %s", string(r.Group))
	s.add(" %s", what)
	s.addIf(" by member %s", r.Input("member"))
	s.addIf(" with %s", r.Input("code"))
	s.addIf(" at step %s", r.Input("step"))
	return s.addIf(" at %s", r.Input("peer")).end()
}

func sessionsEnded(r *Record) string {
	s := begin("%s ended %s sessions", r.Instance, orUnknown(r.Input("count")))
	s.addIf(" of customer %s", r.Customer)
	return s.addIf(" because %s", r.Cause).end()
}

func instanceDead(r *Record) string {
	s := begin("%s holds instance %s for dead", r.Instance, orUnknown(r.Input("peer")))
	s.addIf(" after %s ms without an answer", r.Input("silence_ms"))
	return s.add(". The next instances in order claim the groups whose home it was").end()
}

func isolated(r *Record) string {
	s := begin("%s is cut off from the key-value service and reaches %s of %s peers", r.Instance,
		orUnknown(r.Input("reached_peers")), orUnknown(r.Input("known_peers")))
	return s.add(". It refuses new requests, because a key may have been withdrawn elsewhere").end()
}

func isolationEnded(r *Record) string {
	s := begin("%s accepts requests again", r.Instance)
	return s.addIf(" after %s ms of isolation", r.Input("duration_ms")).end()
}

func lost(r *Record) string {
	s := begin("%s audit records of %s were lost", orUnknown(r.Input("count")), r.Instance)
	s.addIf(" while %s", r.Input("where"))
	return s.addIf(": %s", r.Cause).end()
}

// milliseconds formats a number of milliseconds as a duration.
func milliseconds(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return "an unknown time"
	}
	return (time.Duration(n) * time.Millisecond).String()
}
