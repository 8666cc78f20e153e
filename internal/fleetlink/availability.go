package fleetlink

import "github.com/go-faster/errors"

// peerState is what is known of a peer's availability.
type peerState uint8

const (
	// stateAvailable: calls are allowed, and no probe runs.
	stateAvailable peerState = iota
	// stateProbed: calls are allowed; a probe runs because one of them takes long.
	stateProbed
	// stateUnavailable: the last probe failed, and probes go on. New calls fail.
	stateUnavailable
)

// availability is the state of a peer: available -> probed -> unavailable, and from both of these back to available. It
// has no goroutines and is not safe for concurrent use.
type availability struct {
	state peerState
	// cause is the error of new calls in stateUnavailable: ErrUnresponsive or the RefusedError of the last probe.
	cause error
	// lost is closed on the way to stateUnavailable and replaced on the way back, so each channel is closed once. A call
	// keeps the one of its beginning.
	lost chan struct{}
}

func newAvailability() availability { return availability{lost: make(chan struct{})} }

// begin returns the channel that is closed if the peer becomes unavailable during a new call, or the error of the call.
func (a *availability) begin() (lost <-chan struct{}, err error) {
	if a.state == stateUnavailable {
		return nil, a.cause
	}
	return a.lost, nil
}

// suspect records that a call takes long. It returns true if a probe must be started.
func (a *availability) suspect() bool {
	if a.state != stateAvailable {
		return false
	}
	a.state = stateProbed
	return true
}

// probeFailed records a failed probe.
func (a *availability) probeFailed(err error) {
	if a.state == stateAvailable {
		return // the probing has ended
	}
	if a.state == stateProbed {
		a.state = stateUnavailable
		close(a.lost)
	}
	a.cause = ErrUnresponsive
	if refused := (*RefusedError)(nil); errors.As(err, &refused) {
		a.cause = refused
	}
}

// probingEnded records that the peer has answered a probe, or that the probes were given up. Calls are allowed again.
func (a *availability) probingEnded() {
	if a.state == stateUnavailable {
		a.lost = make(chan struct{})
	}
	a.state, a.cause = stateAvailable, nil
}
