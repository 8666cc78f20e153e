package fleetlink

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// availabilityEvents are the events of availability.
var availabilityEvents = []struct {
	name  string
	apply func(*availability)
}{
	{"suspect", func(a *availability) { a.suspect() }},
	{"failed", func(a *availability) { a.probeFailed(errors.New("no answer")) }},
	{"refused", func(a *availability) { a.probeFailed(errors.Wrap(&RefusedError{}, "dial")) }},
	{"ended", func(a *availability) { a.probingEnded() }},
}

// observedCall is a call that was begun in some state.
type observedCall struct {
	lost <-chan struct{}
	// mustBeLost is true once the peer has become unavailable during the call.
	mustBeLost bool
}

func (c observedCall) isLost() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

// TestAvailabilityInEveryOrderOfEvents plays every sequence of six events, in whatever state they arrive, with a call begun before
// each and after the last. It guards against a channel that is closed twice, and against calls that are cancelled or go on wrongly.
func TestAvailabilityInEveryOrderOfEvents(t *testing.T) {
	const length = 6
	n := len(availabilityEvents)
	sequences := 1
	for range length {
		sequences *= n
	}
	for s := range sequences {
		var events []int
		for rest := s; len(events) < length; rest /= n {
			events = append(events, rest%n)
		}
		if err := playAvailability(events); err != nil {
			t.Fatal(err)
		}
	}
}

// playAvailability applies the events and checks the state and all calls after each of them.
func playAvailability(events []int) error {
	a := newAvailability()
	var calls []observedCall
	played := ""
	for _, e := range events {
		if lost, err := a.begin(); err == nil {
			calls = append(calls, observedCall{lost: lost})
		}
		before := a.state
		played += " " + availabilityEvents[e].name
		availabilityEvents[e].apply(&a)
		if before != stateUnavailable && a.state == stateUnavailable {
			for i := range calls {
				calls[i].mustBeLost = true
			}
		}
		if err := checkAvailability(&a, calls); err != nil {
			return errors.Wrapf(err, "after%s", played)
		}
	}
	return nil
}

func checkAvailability(a *availability, calls []observedCall) error {
	for i, c := range calls {
		if c.isLost() != c.mustBeLost {
			return fmt.Errorf("call %d is lost: %t, want %t", i, c.isLost(), c.mustBeLost)
		}
	}
	lost, err := a.begin()
	if (err != nil) != (a.state == stateUnavailable) {
		return fmt.Errorf("a new call in state %d: %v", a.state, err)
	}
	if err == nil && (observedCall{lost: lost}).isLost() {
		return errors.New("a new call is lost from the start")
	}
	return nil
}

func TestAvailabilityTransitions(t *testing.T) {
	is := is.New(t)
	a := newAvailability()
	a.probeFailed(errors.New("late"))
	is.Equal(a.state, stateAvailable) // no probe runs
	is.True(a.suspect())
	is.True(!a.suspect()) // one probe at a time
	_, err := a.begin()
	is.NoErr(err) // a slow call alone proves nothing
	a.probeFailed(errors.New("no answer"))
	_, err = a.begin()
	is.Equal(err, ErrUnresponsive)
	is.True(!a.suspect())
	a.probeFailed(errors.Wrap(&RefusedError{}, "dial"))
	_, err = a.begin()
	is.True(errors.Is(err, ErrConnectionRefused))
	a.probingEnded()
	_, err = a.begin()
	is.NoErr(err)
	is.True(a.suspect())
}
