// Package instance describes the proxy instances of a fleet and the failure domains they run in.
package instance

// ID names one proxy instance. It is unique within a fleet and comes from the settings file.
type ID string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// State is the lifecycle state of an instance as its peers see it.
type State uint8

// States of an instance, ordered by precedence at equal incarnation.
const (
	StateLive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	default:
		return "unknown"
	}
}

// Info holds what peers need to reach an instance.
type Info struct {
	ID            ID            `json:"id"`
	FailureDomain FailureDomain `json:"failure_domain"`
	// PeerAddress is the host:port of the service for other instances.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the host:port where callers connect.
	CallerAddress string `json:"caller_address"`
}
