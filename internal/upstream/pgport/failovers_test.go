package pgport_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

// writer inserts numbers through a member and keeps those that a majority has received in the term of their commit.
type writer struct {
	f            fixture
	mu           sync.Mutex
	next         int
	acknowledged []int
}

// write inserts one row through the member and waits until the row is acknowledged or ctx ends.
func (w *writer) write(ctx context.Context, t *testing.T, m upstream.Member) {
	c, err := w.f.port.Dial(ctx, m, upstream.Claim{Generation: 1, Owner: "i1"})
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	for ctx.Err() == nil {
		w.mu.Lock()
		w.next++
		id := w.next
		w.mu.Unlock()
		if c.Send(query(t, fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", id))) != nil {
			return
		}
		p, ok := commitPosition(c)
		if !ok || !w.waitMajority(ctx, p) {
			return
		}
		w.mu.Lock()
		w.acknowledged = append(w.acknowledged, id)
		w.mu.Unlock()
	}
}

// commitPosition reads an answer up to ReadyForQuery.
func commitPosition(c upstream.Conn) (position.Position, bool) {
	var p position.Position
	for {
		b, err := c.Receive()
		if err != nil || b[0] == 'E' {
			return p, false
		}
		switch b[0] {
		case 'S':
			if p, err = position.Parse(string(b[5+len("group_position\x00") : len(b)-1])); err != nil {
				return p, false
			}
		case 'Z':
			return p, !p.IsZero()
		}
	}
}

func (w *writer) waitMajority(ctx context.Context, p position.Position) bool {
	for ctx.Err() == nil {
		n := 0
		for _, m := range w.f.members {
			s := w.f.group.Status(m.ID)
			if s.History.LastTerm() == p.Term && s.Received >= p.LSN {
				n++
			}
		}
		if n >= 2 {
			return true
		}
		time.Sleep(100 * time.Microsecond)
	}
	return false
}

// Guards against acknowledged writes that are lost, and members that diverge, over crashes, partitions and pauses of
// primaries under load.
func TestRepeatedFailovers(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, 3*generous)
	for _, m := range f.members {
		_, err := f.port.Claim(ctx, m, upstream.Claim{Generation: 1, Owner: "i1"})
		is.NoErr(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	w := &writer{f: f}
	primary := 0
	for term := position.Term(2); term < 14; term++ {
		load, stop := context.WithTimeout(ctx, generous)
		var wg sync.WaitGroup
		for _, m := range f.members {
			wg.Go(func() { w.write(load, t, m) }) // only the primary accepts
		}
		before := len(w.snapshot())
		waitFor(t, "acknowledged writes", func() bool { return len(w.snapshot()) > before+20 })
		end := f.breakMember(t, f.members[primary].ID, random.IntN(4))
		next := f.failOver(ctx, t, term, primary)
		end()
		_, err := f.port.Follow(ctx, f.members[primary], term, "i1", f.members[next])
		is.NoErr(err)
		stop()
		wg.Wait()
		primary = next
	}
	acknowledged := w.snapshot()
	for _, m := range f.members {
		waitFor(t, "convergence", func() bool {
			s := f.group.Status(m.ID)
			return s.LogEnd() == f.group.Position(f.members[primary].ID) && s.Applied == s.Received
		})
		rows, err := f.group.Read(m.ID, "SELECT id FROM t")
		is.NoErr(err)
		present := make(map[int64]bool)
		for _, r := range rows {
			present[r[0].(int64)] = true
		}
		for _, id := range acknowledged {
			is.True(present[int64(id)]) // an acknowledged write is lost
		}
	}
	is.NoErr(f.group.Err())
}

func (w *writer) snapshot() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]int(nil), w.acknowledged...)
}

// breakMember applies a fault and returns the function that ends it.
func (f fixture) breakMember(t *testing.T, id upstream.MemberID, fault int) (end func()) {
	switch fault {
	case 0:
		f.group.Kill(id)
		return func() {
			if err := f.group.Restart(id); err != nil {
				t.Error(err)
			}
		}
	case 1:
		f.group.Isolate(id)
		return func() { f.group.Heal(id) }
	case 2:
		f.group.Freeze(id)
		return func() { f.group.Unfreeze(id) }
	default:
		return func() {} // a planned switchover
	}
}

// failOver fences all members but the old primary, promotes the one with the longest log and lets the other follow.
func (f fixture) failOver(ctx context.Context, t *testing.T, term position.Term, old int) (next int) {
	is := is.New(t)
	next = -1
	var best position.Position
	for i, m := range f.members {
		if i == old {
			continue
		}
		s, err := f.port.Fence(ctx, m, term, "i1")
		is.NoErr(err)
		if next < 0 || best.Less(s.LogEnd()) {
			next, best = i, s.LogEnd()
		}
	}
	_, err := f.port.Promote(ctx, f.members[next], term, "i1")
	is.NoErr(err)
	for i, m := range f.members {
		if i != old && i != next {
			_, err := f.port.Follow(ctx, m, term, "i1", f.members[next])
			is.NoErr(err)
		}
	}
	return next
}
