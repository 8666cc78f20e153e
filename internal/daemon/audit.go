package daemon

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/home"
)

// homeAudit turns the events of homes into audit records and log lines.
type homeAudit struct {
	trail *audit.Trail
}

// kinds maps the events of a home to kinds of records.
var kinds = map[home.EventKind]audit.Kind{
	home.EventFailover:       audit.KindFailoverStep,
	home.EventClaim:          audit.KindHomeClaimed,
	home.EventLoss:           audit.KindHomeLost,
	home.EventRelease:        audit.KindHomeHandedOver,
	home.EventOutcomeUnknown: audit.KindOutcomeUnknown,
	home.EventFloorFault:     audit.KindTokenFault,
}

// Record implements home.AuditSink.
func (h homeAudit) Record(e home.Event) {
	kind, ok := kinds[e.Kind]
	if !ok {
		kind = audit.Kind("home." + string(e.Kind))
	}
	r := audit.Record{
		Time:       e.Time,
		Kind:       kind,
		Cause:      e.Cause,
		Text:       e.Text,
		Term:       e.Term,
		Generation: e.Generation,
		Operator:   e.Operator,
		Trace:      e.Trace,
		Group:      e.Group,
		Customer:   e.Customer,
	}
	if e.Step != "" {
		r.Inputs = append(r.Inputs, audit.Input{Key: "step", Value: e.Step})
	}
	if e.Member != "" {
		r.Inputs = append(r.Inputs, audit.Input{Key: "peer", Value: string(e.Member)})
	}
	for _, m := range e.Members {
		r.Inputs = append(r.Inputs, audit.Input{Key: "member." + string(m.Member), Value: describeInput(&m)})
	}
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	h.trail.Record(r)
}

// describeInput says in a few words what was known of a member.
func describeInput(m *failover.MemberInput) string {
	if !m.Known {
		return "never heard"
	}
	text := fmt.Sprintf("%s term %d log %s", m.Role, m.Term, m.LogEnd)
	if m.PrimarySilence > 0 {
		text += fmt.Sprintf(", primary unheard for %d ms", m.PrimarySilence.Milliseconds())
	}
	if m.Unreachable {
		text += ", unreachable"
	}
	return text
}
