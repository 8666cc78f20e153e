package fanout

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/boottime"
)

const (
	// startTimeout bounds how long a request waits at an instance that does not read the store yet: after a restart it
	// takes a moment, and the callers have nowhere better to go.
	startTimeout = 500 * time.Millisecond
	// startPollInterval is the interval between the checks for the end of that wait.
	startPollInterval = 20 * time.Millisecond
)

// Server answers the requests of other instances from this instance's copies of the shared entries.
type Server struct {
	// Copies holds the copy of each prefix that is served.
	Copies map[string]*Copy
	// Confirmed is the copy that the store confirms regularly. Its age counts for all of them.
	Confirmed *Copy
	// Reads reports whether this instance reads the store itself.
	Reads func() bool
	// CatchUp reads the configuration up to a revision, or gives up after a short time.
	CatchUp func(ctx context.Context, revision uint64)
	Clock   boottime.Clock
}

// Follow answers a request. It waits for a change as long as the request allows, unless the content becomes too old.
func (s *Server) Follow(ctx context.Context, r Request) (Answer, error) {
	c := s.Copies[r.Prefix]
	if c == nil {
		return Answer{}, ErrNotReader
	}
	if err := s.awaitContent(ctx, c); err != nil {
		return Answer{}, err
	}
	if r.AtLeast > 0 {
		s.CatchUp(ctx, r.AtLeast)
	}
	deadline := s.Clock().Add(min(r.Wait, maxWait))
	for {
		if err := s.usable(c); err != nil {
			return Answer{}, err
		}
		// Read before the content, so that the content is at least as new.
		_, confirmedAt, _ := s.Confirmed.State()
		_, _, changed := c.State()
		a := c.Since(r.After)
		now := s.Clock()
		if len(a.Changes) > 0 || a.Compacted || r.After == 0 || !now.Before(deadline) {
			a.Age = max(0, now.Sub(confirmedAt))
			return a, nil
		}
		if err := wait(ctx, changed, min(deadline.Sub(now), confirmedAt.Add(maxAge).Sub(now))); err != nil {
			return Answer{}, err
		}
	}
}

// usable returns an error unless the copy may be passed on.
func (s *Server) usable(c *Copy) error {
	_, confirmedAt, _ := s.Confirmed.State()
	revision, _, _ := c.State()
	switch {
	case !s.Reads():
		return ErrNotReader
	case revision == 0 || s.Clock().Sub(confirmedAt) >= maxAge:
		return ErrTooOld
	default:
		return nil
	}
}

// awaitContent waits up to startTimeout until the copy may be passed on.
func (s *Server) awaitContent(ctx context.Context, c *Copy) error {
	for end := s.Clock().Add(startTimeout); ; {
		err := s.usable(c)
		if err == nil || !s.Clock().Before(end) {
			return err
		}
		if err := wait(ctx, nil, startPollInterval); err != nil {
			return err
		}
	}
}

// wait waits for a change, at most for d. It returns an error when ctx has ended.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-t.C:
	}
	return nil
}
