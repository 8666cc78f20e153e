package operator

import (
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Phase is the point in the life of a process.
type Phase string

// Phases of a process.
const (
	// PhaseStarting lasts until a first configuration is in force.
	PhaseStarting Phase = "starting"
	PhaseServing  Phase = "serving"
	// PhaseIsolated means that the instance refuses new requests because it is cut off.
	PhaseIsolated Phase = "isolated"
	PhaseDraining Phase = "draining"
)

// Status describes an instance.
type Status struct {
	Instance      instance.ID            `json:"instance"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
	Region        string                 `json:"region"`
	Phase         Phase                  `json:"phase"`
	// StartedUnixMS is the start time of the process.
	StartedUnixMS int64 `json:"started_unix_ms"`
	// Config identifies the configuration in force; its version is 0 before the first one.
	Config config.Ref    `json:"config"`
	Preset config.Preset `json:"preset,omitempty"`
	// Revocations lists the emergency revocations that the instance knows of.
	Revocations []config.Revocation `json:"revocations,omitempty"`
	// StoreAnswerAgeMS is the time since the key-value service answered the instance; -1 means never.
	StoreAnswerAgeMS int64    `json:"store_answer_age_ms"`
	Members          []Member `json:"members,omitempty"`
	Homes            []Home   `json:"homes,omitempty"`
	// Callers is the number of callers' connections.
	Callers int `json:"callers"`
	// AuditWaiting and AuditDropped count records that wait for the key-value service and that never reached it.
	AuditWaiting int    `json:"audit_waiting"`
	AuditDropped uint64 `json:"audit_dropped"`
}

// Member is another instance as this one sees it.
type Member struct {
	ID            instance.ID            `json:"id"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
	State         string                 `json:"state"`
}

// Home is a group whose home the instance is.
type Home struct {
	Group      upstream.GroupID  `json:"group"`
	Generation uint64            `json:"generation"`
	Primary    upstream.MemberID `json:"primary,omitempty"`
	Term       position.Term     `json:"term"`
	// Lost is true while the claim is not confirmed by a majority of members.
	Lost     bool `json:"lost,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
}
