package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/catalog"
)

var epoch = time.Unix(1000, 0)

func customer(rate, burst float64) *catalog.Customer {
	return &catalog.Customer{Name: "c", Rate: rate, Burst: burst}
}

// fleet simulates one customer's tokens at several owners and their coordinator.
type fleet struct {
	pool   *Coordinator
	stocks []*LocalLimiter
	c      *catalog.Customer
	// asked counts the requests for tokens.
	asked int
}

func newFleet(c *catalog.Customer, groups int, now time.Time) *fleet {
	f := &fleet{pool: NewCoordinator(now, false), c: c}
	for range groups {
		f.stocks = append(f.stocks, NewLocalLimiter(now))
	}
	return f
}

// take runs one operation at an owner, which requests tokens from the coordinator when it has none.
func (f *fleet) take(i int, now time.Time) bool {
	s := f.stocks[i]
	s.RecordDemand(f.c, len(f.stocks), now)
	if s.Take(f.c, len(f.stocks), now) {
		return true
	}
	n, _ := s.RequestSize(f.c, now)
	if n == 0 {
		return false
	}
	f.asked++
	s.Add(f.c.Name, n, f.pool.Grant(f.c, len(f.stocks), n, now), now, now)
	return s.Take(f.c, len(f.stocks), now)
}

// refill requests tokens ahead for all owners.
func (f *fleet) refill(now time.Time) {
	for _, s := range f.stocks {
		s.EachShortage(now, func(name string, n int) {
			f.asked++
			s.Add(name, n, f.pool.Grant(f.c, len(f.stocks), n, now), now, now)
		})
	}
}

// Guards against refusals of a customer within its contract: five eighths of its rate, spread over eight groups.
func TestTrafficWithinTheRateIsNotRefused(t *testing.T) {
	for _, rate := range []float64{5, 20, 115} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(customer(rate, rate), 8, epoch)
			gap := time.Duration(float64(time.Second) / (rate * 5 / 8))
			now := epoch.Add(10 * time.Second)
			refused, ran := 0, 0
			for i := 0; now.Before(epoch.Add(40 * time.Second)); i++ {
				now = now.Add(gap)
				f.refill(now)
				if f.take(i*i%8, now) {
					ran++
				} else {
					refused++
				}
			}
			is.Equal(refused, 0)
			is.True(ran > 50)
		})
	}
}

// Guards against a limit that admits noticeably less than the contract: a customer at twice its rate gets its rate.
func TestALimitIsFullyUsable(t *testing.T) {
	is := is.New(t)
	f := newFleet(customer(21, 21), 3, epoch)
	ran := 0
	for ms := 0; ms < 30_000; ms += 23 {
		now := epoch.Add(10*time.Second + time.Duration(ms)*time.Millisecond)
		f.refill(now)
		if f.take(ms%3, now) {
			ran++
		}
	}
	is.True(ran >= 30*21*97/100) // at most 3 % of the limit is lost
	is.True(ran <= 30*21+21+1)
}

// Guards against admitting more than the contract's bound in any sliding window, under random demand and up to four
// restarts of all owners.
func TestBoundOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 150).Draw(t, "rate"))
		c := customer(rate, rate)
		groups := rapid.IntRange(1, 10).Draw(t, "groups")
		f := newFleet(c, groups, epoch)
		// A restart takes at least 300 ms; the next one may follow as soon as the processes are back.
		restarts := rapid.SliceOfN(rapid.IntRange(300, 6000), 0, 4).Draw(t, "restarts")
		most := rapid.IntRange(1, 6).Draw(t, "most")
		down, at := 0, 4000
		var times []int
		for ms := 0; ms < 20_000; ms += 7 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if len(restarts) > 0 && ms >= at {
				down, at, restarts = ms+300, ms+300+restarts[0], restarts[1:]
			}
			if ms < down {
				f = newFleet(c, groups, now)
				f.pool = NewCoordinator(now, true)
				continue
			}
			f.refill(now)
			for range rapid.IntRange(0, most).Draw(t, "demand") {
				if f.take(rapid.IntRange(0, groups-1).Draw(t, "group"), now) {
					times = append(times, ms)
				}
			}
		}
		const window = 5000
		limit := (rate*window/1000+rate)*1.1 + 20
		first := 0
		for last, ms := range times {
			for times[first] <= ms-window {
				first++
			}
			if n := last - first + 1; float64(n) > limit {
				t.Fatalf("%d operations in the window that ends at %d ms; the bound is %.0f", n, ms, limit)
			}
		}
	})
}

// Guards against many refusals after a restart of the coordinator, for a customer at five eighths of its rate whose
// operations of the outage arrive all at once.
func TestARestartRefusesFew(t *testing.T) {
	is := is.New(t)
	c := customer(40, 40)
	f := newFleet(c, 3, epoch)
	f.pool = NewCoordinator(epoch, true)
	refused, asked := 0, 0
	for ms := 0; ms < 2000; ms += 40 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		f.refill(now)
		n := 1
		if ms == 0 {
			n = 15
		}
		for i := range n {
			asked++
			if !f.take(i%3, now) {
				refused++
			}
		}
	}
	is.True(asked > 60)
	is.True(refused <= 3)
}

func TestALowerLimitAppliesImmediately(t *testing.T) {
	is := is.New(t)
	p := NewCoordinator(epoch, false)
	now := epoch.Add(time.Minute)
	is.Equal(p.Grant(customer(100, 100), 1, 50, now), 50)
	is.Equal(p.Grant(customer(10, 10), 1, 50, now), 8) // the level is cut to the new burst
}

// Guards against one token request for each operation of a customer at 20 times its rate; the customer still gets its
// rate.
func TestACustomerFarAboveItsRateCausesFewRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(customer(50, 50), 3, epoch)
	admitted, operations := 0, 0
	for ms := range 10_000 {
		now := epoch.Add(10*time.Second + time.Duration(ms)*time.Millisecond)
		if ms%40 == 0 {
			f.refill(now)
		}
		operations++
		if f.take(ms%3, now) {
			admitted++
		}
	}
	is.True(admitted >= 10*50*97/100)
	is.True(admitted <= 10*50+50+1)
	is.Equal(operations, 10_000)
	// Three owners, each with at most one request in 20 ms.
	is.True(f.asked <= 3*10*50)
}

func TestBackoffGrowsAndEnds(t *testing.T) {
	is := is.New(t)
	c := customer(1000, 1000)
	var p Backoff
	now := epoch
	is.Equal(p.Remaining(now), time.Duration(0))
	for _, want := range []time.Duration{20, 40, 80, 100, 100} {
		p.Denied(c, now)
		is.Equal(p.Remaining(now), want*time.Millisecond)
	}
	p.Granted()
	is.Equal(p.Remaining(now), time.Duration(0))
	p.Denied(c, now)
	is.Equal(p.Remaining(now), 20*time.Millisecond)
	is.Equal(p.Remaining(now.Add(20*time.Millisecond)), time.Duration(0))
	p.Denied(customer(4, 4), now)
	is.Equal(p.Remaining(now), 250*time.Millisecond) // the time in which the contract yields a token
}

func TestGrantsExpire(t *testing.T) {
	is := is.New(t)
	c := customer(4, 4)
	s := NewLocalLimiter(epoch)
	s.Take(c, 8, epoch)
	s.Add("c", 2, 2, epoch, epoch)
	is.True(s.Take(c, 8, epoch.Add(GrantLifetime-time.Millisecond)))
	is.True(!s.Take(c, 8, epoch.Add(GrantLifetime)))
}
