package home

import (
	"time"

	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// EventKind is the kind of an automatic action of a home.
type EventKind string

// Event kinds.
const (
	// EventFailover is a step of the failover state machine, a switchover included.
	EventFailover EventKind = "failover"
	// EventClaim is the start of a home role.
	EventClaim EventKind = "claim"
	// EventLoss is the end of a home role without release.
	EventLoss EventKind = "loss"
	// EventRelease is the planned end of a home role.
	EventRelease EventKind = "release"
	// EventOutcomeUnknown is a request whose outcome is unknown.
	EventOutcomeUnknown EventKind = "outcome_unknown"
	// EventTransactionEnd is a transaction that the home rolled back on its own initiative.
	EventTransactionEnd EventKind = "transaction_rolled_back"
	// EventSilentConnection is a connection closed because it did not answer in time.
	EventSilentConnection EventKind = "silent_connection"
	// EventFloorFault is a session token with an acknowledged position that is missing from the log.
	EventFloorFault EventKind = "floor_fault"
	// EventSetting is a setting that a member refused.
	EventSetting EventKind = "setting_refused"
)

// Event describes one automatic action for the audit trail.
type Event struct {
	Time  time.Time        `json:"time"`
	Kind  EventKind        `json:"kind"`
	Group upstream.GroupID `json:"group"`
	// Cause is the reason for the action.
	Cause string `json:"cause"`
	// Step and Member identify where the action took place.
	Step       string            `json:"step,omitempty"`
	Member     upstream.MemberID `json:"member,omitempty"`
	Term       position.Term     `json:"term,omitempty"`
	Generation uint64            `json:"generation,omitempty"`
	Customer   string            `json:"customer,omitempty"`
	Trace      request.TraceID   `json:"trace,omitempty"`
	Operator   string            `json:"operator,omitempty"`
	// Text describes the decision and its reason in one sentence.
	Text string `json:"text"`
	// Members is the state of the members on which the decision was based.
	Members []failover.MemberInput `json:"members,omitempty"`
}

// AuditSink receives audit events. Record is called with a group locked, so it must not block or call into this
// package.
type AuditSink interface {
	Record(Event)
}

type discardAudit struct{}

func (discardAudit) Record(Event) {}

// record completes the event, sends it to the audit sink and logs it. The group must be locked.
func (g *Group) record(e Event) {
	e.Time = g.now()
	e.Group = g.id
	if e.Term == 0 {
		e.Term = g.term
	}
	e.Generation = g.claim.Generation
	g.o.Audit.Record(e)
	g.log.Info("automatic action", "kind", e.Kind, "cause", e.Cause, "step", e.Step, "member", e.Member,
		"term", e.Term, "generation", e.Generation, "customer", e.Customer, "trace", e.Trace, "text", e.Text)
}

// recordExplanation records a decision of the failover state machine.
func (g *Group) recordExplanation(x failover.Explanation) {
	g.record(Event{
		Kind:     EventFailover,
		Cause:    string(x.Cause),
		Step:     string(x.Step),
		Member:   x.Member,
		Term:     x.Term,
		Operator: x.Operator,
		Text:     x.Text,
		Members:  x.Inputs,
	})
}
