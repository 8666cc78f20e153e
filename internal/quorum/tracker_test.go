package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	names = []upstream.MemberID{"a", "b", "c"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func status(m upstream.MemberID, role upstream.Role, term position.Term, lsn position.LSN, h ...position.TermStart) *upstream.MemberStatus {
	if h == nil {
		h = []position.TermStart{{Term: term}}
	}
	return &upstream.MemberStatus{Member: m, Role: role, Term: term, Received: lsn, Applied: lsn, History: h}
}

// Guards against acknowledging a commit that only a minority has received or that a majority has received in different
// terms, and against waiting for more than a majority. The acknowledged position must be the highest one that a majority's
// highest reports ever held in the position's own term.
func TestAcknowledgedMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []upstream.MemberID{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{1, 3, 4, 5}).Draw(t, "members")]
		q := New(members)
		highest := map[upstream.MemberID]position.Position{}
		var want position.Position
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := status(rapid.SampledFrom(members).Draw(t, "member"), upstream.RoleReplica,
				position.Term(rapid.IntRange(1, 3).Draw(t, "term")), position.LSN(rapid.IntRange(1, 20).Draw(t, "lsn")))
			before := want
			c := q.Observe(s, start)
			if !c.Regressed {
				highest[s.Member] = position.Max(highest[s.Member], s.LogEnd())
			}
			want = position.Max(want, naiveMajority(len(members), highest))
			if got := q.Acknowledged(); got != want || c.Acknowledged != (want != before) {
				t.Fatalf("acknowledged %v (change %v), want %v after %v", got, c.Acknowledged, want, before)
			}
			p := s.LogEnd()
			if q.MajorityReceived(p) != (p.Term == want.Term && p.LSN <= want.LSN) {
				t.Fatalf("received %v is %v at %v", p, q.MajorityReceived(p), want)
			}
		}
	})
}

func naiveMajority(members int, highest map[upstream.MemberID]position.Position) position.Position {
	var best position.Position
	for _, p := range highest {
		have := 0
		for _, o := range highest {
			if o.Term == p.Term && o.LSN >= p.LSN {
				have++
			}
		}
		if have > members/2 {
			best = position.Max(best, p)
		}
	}
	return best
}

// Guards against reporting a primary after it was superseded, and against a minority that supersedes one.
func TestPrimary(t *testing.T) {
	is := is.New(t)
	q := New(names)
	is.True(q.Observe(status("a", upstream.RolePrimary, 1, 5), start).Primary)
	q.Observe(status("b", upstream.RoleFenced, 2, 5), start)
	id, term, ok := q.Primary()
	is.Equal([]any{id, term, ok}, []any{upstream.MemberID("a"), position.Term(1), true})
	is.True(q.Observe(status("c", upstream.RoleFenced, 2, 5), start).Primary) // a majority accepted a higher term
	_, _, ok = q.Primary()
	is.True(!ok)
	q.Observe(status("c", upstream.RolePrimary, 2, 6), start)
	id, term, ok = q.Primary()
	is.Equal([]any{id, term, ok}, []any{upstream.MemberID("c"), position.Term(2), true})
	is.True(q.Observe(status("c", upstream.RolePrimary, 1, 6), start).Regressed)
	is.True(q.Observe(status("a", upstream.RoleReplica, 3, 6), start).Primary) // a follows a primary of term 3
	_, _, ok = q.Primary()
	is.True(!ok)
}

// Guards against authority without a majority, counted from a time after the round was sent, for another claim, or after a
// majority accepted a higher generation.
func TestAuthority(t *testing.T) {
	is := is.New(t)
	q := New(names)
	claim := upstream.Claim{Generation: 7, Owner: "i1"}
	q.SetClaim(claim)
	answer := func(r RoundID, m upstream.MemberID, generation uint64, owner string, now time.Time) RoundResult {
		s := status(m, upstream.RoleReplica, 1, 5)
		s.Generation, s.Owner = generation, owner
		return q.Answer(r, s, now)
	}
	r := q.StartRound(start)
	is.True(!answer(r, "a", 7, "i1", at(90*time.Millisecond)).Authority)
	is.True(!answer(r, "a", 7, "i1", at(91*time.Millisecond)).Authority) // one member counts once
	is.True(!answer(r, "b", 7, "i2", at(92*time.Millisecond)).Authority)
	is.True(answer(r, "c", 7, "i1", at(95*time.Millisecond)).Authority)
	is.True(q.HasAuthority(at(AuthorityWindow - 1)))
	is.True(!q.HasAuthority(at(AuthorityWindow)))
	answer(r, "b", 8, "i2", at(96*time.Millisecond))
	is.True(q.HasAuthority(at(100 * time.Millisecond)))
	answer(r, "c", 8, "i2", at(97*time.Millisecond))
	is.True(!q.HasAuthority(at(100 * time.Millisecond)))
	n, ok := q.NextGeneration()
	is.Equal([]any{n, ok}, []any{uint64(9), true})
}

// Guards against a read index below a commit that was acknowledged before the round was sent.
func TestReadIndexCoversAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(names)
		received := map[upstream.MemberID]position.LSN{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.SampledFrom(names).Draw(t, "grows")
			received[id] += position.LSN(rapid.IntRange(1, 5).Draw(t, "by"))
			q.Observe(status(id, upstream.RoleReplica, 1, received[id]), start)
			before := q.Acknowledged()
			joined := q.NextRound()
			r := q.StartRound(at(time.Duration(step)))
			skipped := rapid.SampledFrom(names).Draw(t, "skipped")
			var ready int
			for _, m := range names {
				if m == skipped {
					continue
				}
				res := q.Answer(r, status(m, upstream.RoleReplica, 1, received[m]), start)
				if !res.IndexReady {
					continue
				}
				ready++
				if res.Index.Less(before) || r < joined {
					t.Fatalf("round %d (joined %d): index %v below acknowledged %v", r, joined, res.Index, before)
				}
			}
			if ready != 1 {
				t.Fatalf("index was ready %d times", ready)
			}
		}
	})
}

// Guards against underestimating the data age, and against overestimating it more than the samples require.
func TestAgeMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(names)
		var samples []sample
		var written, applied position.LSN
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(sampleSpacing + time.Duration(rapid.IntRange(0, 100).Draw(t, "ms"))*time.Millisecond)
			written += position.LSN(rapid.IntRange(0, 3).Draw(t, "written"))
			applied = min(written, applied+position.LSN(rapid.IntRange(0, 4).Draw(t, "applied")))
			r := q.StartRound(now)
			answering := rapid.Bool().Draw(t, "primary answers")
			q.Answer(r, status("b", upstream.RoleReplica, 1, applied), now)
			q.Answer(r, status("c", upstream.RoleReplica, 1, 0), now)
			if answering {
				q.Answer(r, status("a", upstream.RolePrimary, 1, written), now)
				samples = append(samples, sample{sent: now, end: position.Position{Term: 1, LSN: written}})
			}
			var fresh time.Time
			for _, s := range samples {
				if applied >= s.end.LSN {
					fresh = s.sent
				}
			}
			if got, _ := q.FreshAsOf("b"); !got.Equal(fresh) {
				t.Fatalf("fresh as of %v, want %v", got, fresh)
			}
		}
	})
}

// Guards against a sample from a superseded primary, and against an age that no longer advances because a sample lies
// beyond the start of the next term.
func TestAgeAcrossTerms(t *testing.T) {
	is := is.New(t)
	q := New(names)
	r := q.StartRound(start)
	primary := status("a", upstream.RolePrimary, 1, 12)
	primary.Applied = 11
	q.Answer(r, primary, start)
	is.True(q.Answer(r, status("b", upstream.RoleReplica, 1, 10), start).Sampled)
	fresh, _ := q.FreshAsOf("a")
	is.Equal(fresh, start) // a primary holds all its data by definition
	r = q.StartRound(at(time.Second))
	q.Answer(r, status("a", upstream.RolePrimary, 1, 14), start)
	h := []position.TermStart{{Term: 1}, {Term: 2, Start: 10}}
	q.Answer(r, status("b", upstream.RoleFenced, 2, 10, h[:1]...), start)
	is.True(!q.Answer(r, status("c", upstream.RoleFenced, 2, 9, h[:1]...), start).Sampled) // a answers in a lower term
	_, ok := q.FreshAsOf("b")
	is.True(!ok)
	r = q.StartRound(at(2 * time.Second))
	q.Answer(r, status("b", upstream.RolePrimary, 2, 11, h...), start)
	q.Answer(r, status("c", upstream.RoleReplica, 2, 11, h...), start)
	age, ok := q.Age("c", at(3*time.Second))
	is.Equal([]any{age, ok}, []any{time.Second, true})
	q.Observe(status("c", upstream.RoleReplica, 2, 3, h[:1]...), start) // restarted and applies its log again
	_, ok = q.Age("c", at(3*time.Second))
	is.True(!ok)
}

// Guards against an age that grows because rounds are more frequent than kept samples, and against samples lost when the
// ring buffer wraps.
func TestAgeWithFastRoundsAndLongLag(t *testing.T) {
	is := is.New(t)
	q := New(names)
	for ms := range 60_000 {
		now := at(time.Duration(ms) * time.Millisecond)
		r := q.StartRound(now)
		lag := ms - 2000
		if ms > 30_000 {
			lag = 30_000 - 2000 // b stops applying
		}
		q.Answer(r, status("a", upstream.RolePrimary, 1, position.LSN(ms)), now)
		q.Answer(r, status("b", upstream.RoleReplica, 1, position.LSN(max(lag, 0))), now)
		age, ok := q.Age("b", now)
		if ms > 2200 && ms <= 30_000 {
			is.True(ok && age >= 2*time.Second && age <= 2*time.Second+2*sampleSpacing)
		}
	}
	age, _ := q.Age("b", at(60*time.Second))
	is.True(age >= 32*time.Second && age < 32*time.Second+2*sampleSpacing)
	q.Observe(status("b", upstream.RoleReplica, 1, 59_999), at(60*time.Second))
	age, _ = q.Age("b", at(60*time.Second))
	is.Equal(age, time.Millisecond)
}

// benchmark calls f repeatedly with the advancing statuses of a group of n members.
func benchmark(b *testing.B, n int, f func(q *Tracker, s []*upstream.MemberStatus, i int)) {
	members := []upstream.MemberID{"member-1", "member-2", "member-3", "member-4", "member-5"}[:n]
	q := New(members)
	q.SetClaim(upstream.Claim{Generation: 1, Owner: "i1"})
	statuses := make([]*upstream.MemberStatus, n)
	for i, m := range members {
		statuses[i] = status(m, upstream.RoleReplica, 1, 0)
		statuses[i].Generation, statuses[i].Owner = 1, "i1"
	}
	statuses[0].Role = upstream.RolePrimary
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		statuses[i%n].Received++
		statuses[i%n].Applied++
		f(q, statuses, i)
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			benchmark(b, n, func(q *Tracker, s []*upstream.MemberStatus, i int) { q.Observe(s[i%n], start) })
		})
	}
}

func BenchmarkRound(b *testing.B) {
	benchmark(b, 3, func(q *Tracker, s []*upstream.MemberStatus, i int) {
		now := at(time.Duration(i) * time.Millisecond)
		r := q.StartRound(now)
		for _, o := range s {
			q.Answer(r, o, now)
		}
	})
}
