// Package audit keeps the trail of operator changes and automatic actions and explains it in plain sentences.
package audit

import (
	"slices"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Kind says what happened. Explain knows the inputs listed with each kind; other inputs are appended as they are.
type Kind string

// Kinds of records about a group.
const (
	// KindFailoverStep is a decision of the failover state machine that is explained by Text; it has the input step and
	// one input for each member.
	KindFailoverStep Kind = "failover.step"
	// KindFailoverStarted has the inputs primary, evidence, silence_ms and silent_replicas.
	KindFailoverStarted Kind = "failover.started"
	// KindFailoverPromoted has the inputs from, to, position, fenced and passed_over.
	KindFailoverPromoted Kind = "failover.promoted"
	// KindFailoverFinished has the inputs primary and duration_ms.
	KindFailoverFinished Kind = "failover.finished"
	// KindFailoverFailed has the inputs step, peer and retry_ms.
	KindFailoverFailed Kind = "failover.failed"
	// KindSwitchoverFinished has the inputs from, to and duration_ms.
	KindSwitchoverFinished Kind = "switchover.finished"
	// KindHomeClaimed has the inputs previous_owner and members.
	KindHomeClaimed Kind = "home.claimed"
	// KindHomeHandedOver has the inputs to and duration_ms.
	KindHomeHandedOver Kind = "home.handed_over"
	// KindHomeLost has the input owner, the instance with the higher generation.
	KindHomeLost Kind = "home.lost"
	// KindTokenFault has the inputs token_position and term_start.
	KindTokenFault Kind = "token.fault"
)

// Kinds of records about the configuration.
const (
	// KindConfigChanged has the input change. The next four kinds are changes with consequences of their own.
	KindConfigChanged Kind = "config.changed"
	// KindPresetChanged has the inputs from and to.
	KindPresetChanged Kind = "preset.changed"
	// KindKeyWithdrawn has the input key.
	KindKeyWithdrawn Kind = "key.withdrawn"
	// KindDomainOut and KindDomainIn have the input failure_domain.
	KindDomainOut Kind = "failure_domain.out"
	KindDomainIn  Kind = "failure_domain.in"
	// KindKeyRevoked is an emergency revocation; it has the input key.
	KindKeyRevoked Kind = "key.revoked"
	// KindConfigInForce is kept on the instance only; it has the inputs root and operation.
	KindConfigInForce Kind = "config.in_force"
	// KindConfigBehind has the input stored_version.
	KindConfigBehind Kind = "config.store_behind"
	// KindConfigRepaired has the input stored_version.
	KindConfigRepaired Kind = "config.store_repaired"
	// KindConfigFork has the inputs root and other_root.
	KindConfigFork Kind = "config.fork"
	// KindConfigRejected has the input problem.
	KindConfigRejected Kind = "config.rejected"
)

// Kinds of records about requests and instances.
const (
	// KindRefused counts the refusals of one customer, group and cause over a second; it has the inputs count,
	// first_traces and window_ms. Cause is one of the Refusal constants.
	KindRefused Kind = "request.refused"
	// KindOutcomeUnknown has the inputs step and peer.
	KindOutcomeUnknown Kind = "request.unknown"
	// KindTrace is made from the index of recent traces; it has the inputs outcome, code, step and peer.
	KindTrace Kind = "request.trace"
	// KindSessionsEnded has the input count.
	KindSessionsEnded Kind = "sessions.ended"
	// KindInstanceStarted and KindInstanceDraining tell the limits of a process's life.
	KindInstanceStarted  Kind = "instance.started"
	KindInstanceDraining Kind = "instance.draining"
	// KindInstanceDead has the inputs peer and silence_ms.
	KindInstanceDead Kind = "instance.dead"
	// KindIsolated has the inputs reached_peers and known_peers; KindIsolationEnded has duration_ms.
	KindIsolated       Kind = "instance.isolated"
	KindIsolationEnded Kind = "instance.isolation_ended"
	// KindLost has the inputs count and where.
	KindLost Kind = "audit.lost"
)

// Causes of refusals.
const (
	RefusalRate        = "rate"
	RefusalDeadline    = "queue_deadline"
	RefusalQueueFull   = "queue_full"
	RefusalUnavailable = "unavailable"
	RefusalIsolated    = "isolated"
)

// Input is one fact that led to an action.
type Input struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Record is one entry of the trail. Fields that do not apply are empty.
type Record struct {
	// Instance and Sequence identify the record. Sequence starts at the process's start time in microseconds, so that
	// it grows over restarts of the instance.
	Instance instance.ID `json:"instance"`
	Sequence uint64      `json:"sequence"`
	// Event, when set, is equal on the records that several instances make of one event.
	Event string    `json:"event,omitempty"`
	Time  time.Time `json:"time"`
	Kind  Kind      `json:"kind"`
	// Cause says why, in words or as one of the constants of the kind.
	Cause string `json:"cause,omitempty"`
	// Text, when set, is the explanation as one sentence; Explain adds the other fields to it.
	Text       string           `json:"text,omitempty"`
	Inputs     []Input          `json:"inputs,omitempty"`
	Term       position.Term    `json:"term,omitempty"`
	Generation uint64           `json:"generation,omitempty"`
	Version    uint64           `json:"version,omitempty"`
	Operator   string           `json:"operator,omitempty"`
	Trace      request.TraceID  `json:"trace,omitempty"`
	Group      upstream.GroupID `json:"group,omitempty"`
	Customer   string           `json:"customer,omitempty"`
	// Local records stay in the instance's ring. Events that every instance sees would fill the store otherwise.
	Local bool `json:"local,omitempty"`
}

// Input returns the value of an input, or "".
func (r *Record) Input(key string) string {
	for _, i := range r.Inputs {
		if i.Key == key {
			return i.Value
		}
	}
	return ""
}

// Bounds of a record, so that a batch of any records stays below its limit.
const (
	maxCauseBytes = 1_024
	maxInputs     = 32
	maxValueBytes = 256
)

// clip cuts a record to its bounds. The inputs are copied, because their array may be shared with another record.
func (r *Record) clip() {
	r.Cause = clipText(r.Cause, maxCauseBytes)
	r.Text = clipText(r.Text, maxCauseBytes)
	r.Operator = clipText(r.Operator, maxValueBytes)
	r.Trace = request.TraceID(clipText(string(r.Trace), maxValueBytes))
	r.Inputs = slices.Clone(r.Inputs[:min(len(r.Inputs), maxInputs)])
	for i := range r.Inputs {
		r.Inputs[i].Key = clipText(r.Inputs[i].Key, maxValueBytes)
		r.Inputs[i].Value = clipText(r.Inputs[i].Value, maxValueBytes)
	}
}

func clipText(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit-3], "") + "..."
}

// Query selects records. Empty fields do not restrict.
type Query struct {
	Since    time.Time
	Until    time.Time
	Group    upstream.GroupID
	Customer string
	Trace    request.TraceID
	// Limit is the highest number of records, the newest ones; 0 means DefaultLimit.
	Limit int
}

// DefaultLimit is the number of records of a query that states none.
const DefaultLimit = 1_000

// Matches reports whether the record is selected. Records that concern all groups and customers, such as a change of
// preset, match every group and customer. A trace matches the refusals that name it.
func (q *Query) Matches(r *Record) bool {
	if !q.Since.IsZero() && r.Time.Before(q.Since) || !q.Until.IsZero() && r.Time.After(q.Until) {
		return false
	}
	if q.Group != "" && r.Group != "" && r.Group != q.Group {
		return false
	}
	if q.Customer != "" && r.Customer != "" && r.Customer != q.Customer {
		return false
	}
	return q.Trace == "" || r.Trace == q.Trace || r.namesTrace(q.Trace)
}

func (r *Record) namesTrace(t request.TraceID) bool {
	for _, x := range strings.Fields(r.Input("first_traces")) {
		if x == string(t) {
			return true
		}
	}
	return false
}
