package fanout

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/platform"
)

var epoch = time.Unix(1000, 0)

func put(key string, revision uint64) mirror.Event {
	return mirror.Event{Entry: mirror.Entry{Key: key, Revision: revision, Value: []byte(key)}}
}

func deleted(key string, revision uint64) mirror.Event {
	return mirror.Event{Entry: mirror.Entry{Key: key, Revision: revision}, Deleted: true}
}

func at(after, revision uint64, seconds int) mirror.SyncPoint {
	return mirror.SyncPoint{After: after, Revision: revision, RequestedAt: epoch.Add(time.Duration(seconds) * time.Second)}
}

func describe(a Answer) string {
	text := fmt.Sprint(a.Revision)
	for _, c := range a.Changes {
		text += fmt.Sprintf(" %s@%d", c.Key, c.Revision)
		if c.Deleted {
			text += "-"
		}
	}
	if a.Compacted {
		text += " compacted"
	}
	return text
}

func TestCopyReturnsWhatChangedSinceARevision(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	is.True(!c.Apply(nil, at(0, 5, 0))) // nothing is known before the first list
	c.Reset([]mirror.Entry{put("a", 3).Entry, put("b", 4).Entry}, at(0, 10, 1))
	is.True(c.Apply([]mirror.Event{put("a", 12), deleted("b", 13)}, at(10, 14, 2)))
	is.Equal(describe(c.Since(0)), "14 a@12")
	is.Equal(describe(c.Since(10)), "14 a@12 b@13-")
	is.Equal(describe(c.Since(12)), "14 b@13-")
	is.Equal(describe(c.Since(14)), "14")
	is.Equal(describe(c.Since(9)), "14 compacted") // the list did not show what was deleted before it
	is.True(c.Apply([]mirror.Event{put("a", 12), put("b", 3)}, at(8, 14, 3)))
	is.Equal(describe(c.Since(0)), "14 a@12") // older versions and deleted keys do not come back
}

// TestCopyIsNotConfirmedAcrossAGap guards against content that is held current although changes are missing.
func TestCopyIsNotConfirmedAcrossAGap(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	c.Reset(nil, at(0, 10, 1))
	is.True(!c.Apply([]mirror.Event{put("a", 22)}, at(20, 22, 2)))
	revision, confirmedAt, _ := c.State()
	is.Equal(revision, uint64(10))
	is.Equal(confirmedAt, epoch.Add(time.Second))
	c.Reset(nil, at(0, 7, 9)) // an older list
	revision, confirmedAt, _ = c.State()
	is.Equal(revision, uint64(10))
	is.Equal(confirmedAt, epoch.Add(time.Second))
}

// TestAListDoesNotMakeOthersListToo guards against a whole fleet that reads the complete content again because its readers
// have listed the store, which they do during a series of changes.
func TestAListDoesNotMakeOthersListToo(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	c.Reset([]mirror.Entry{put("a", 3).Entry, put("b", 4).Entry}, at(0, 10, 1))
	c.Reset([]mirror.Entry{put("b", 4).Entry, put("c", 19).Entry}, at(0, 20, 2))
	is.Equal(describe(c.Since(10)), "20 c@19 a@20-")
	is.Equal(describe(c.Since(20)), "20")
	is.True(c.Apply([]mirror.Event{put("a", 21)}, at(20, 21, 3)))
	is.Equal(describe(c.Since(20)), "21 a@21")
}

func TestCopyForgetsOldDeletions(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	c.Reset(nil, at(0, 1, 1))
	for r := uint64(2); r < 2*maxDeletions+12; r += 2 {
		c.Apply([]mirror.Event{put("a", r), deleted("a", r+1)}, at(r-1, r+1, 1))
	}
	is.True(c.Since(2).Compacted)
	is.True(!c.Since(100).Compacted)
	is.Equal(len(c.deletions), maxDeletions)
}

func TestLargeValuesAreCompressedOnce(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	value := bytes.Repeat([]byte("route "), 100_000)
	c.Reset([]mirror.Entry{{Key: "a", Revision: 1, Value: value}}, at(0, 1, 1))
	first, second := c.Since(0).Changes[0], c.Since(0).Changes[0]
	is.True(len(first.Compressed) < len(value)/20)
	is.True(&first.Compressed[0] == &second.Compressed[0])
	e, err := first.event()
	is.NoErr(err)
	is.True(bytes.Equal(e.Value, value))
}

// TestMalformedValuesAreErrors guards against a peer that sends damaged or huge values.
func TestMalformedValuesAreErrors(t *testing.T) {
	is := is.New(t)
	for _, b := range [][]byte{{}, []byte("no gzip"), compress([]byte("cut"))[:12], compress(make([]byte, platform.MaxValueBytes+1))} {
		_, err := Change{Compressed: b}.event()
		is.True(err != nil)
	}
}

func FuzzChangeValue(f *testing.F) {
	f.Add(compress([]byte("value")))
	f.Add([]byte("no gzip"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Change{Compressed: b}.event()
	})
}

func owner(name, domain string, cores float64) Reader {
	return Reader{Instance: instance.ID(name), Process: "p", Address: name, Domain: instance.FailureDomain(domain), Cores: cores}
}

func names(readers []Reader) string {
	text := ""
	for _, r := range readers {
		text += string(r.Instance) + " "
	}
	return text
}

func TestReadersAreTheLargestOwnersOfEachDomain(t *testing.T) {
	is := is.New(t)
	owners := []Reader{
		owner("a1", "a", 0.2), owner("a2", "a", 0.8), owner("a3", "a", 0.2), owner("a4", "a", 0.8),
		owner("b1", "b", 0.2), owner("c1", "c", 0.2), owner("a2", "a", 0.8),
	}
	is.Equal(names(Choose(owners)), "a2 a4 b1 c1 ")
	is.Equal(names(Choose(owners[:3])), "") // too few to rely on
	is.Equal(names(Order("x", "c", Choose(owners))[:1]), "c1 ")
	is.Equal(len(Order("x", "d", Choose(owners))), 4)
}

// TestFewOwnersOfManyGroupsAreReaders guards against a large fleet whose instances all read the store themselves because its
// groups have come together at few owners.
func TestFewOwnersOfManyGroupsAreReaders(t *testing.T) {
	is := is.New(t)
	a, b := owner("a1", "a", 0.8), owner("b1", "b", 0.8)
	is.Equal(names(Choose([]Reader{a, b, a, b, b})), "a1 b1 ")
	is.Equal(names(Choose([]Reader{a, a, a, a, a})), "") // the loss of the only one would stop all
	is.Equal(names(Choose([]Reader{a, b})), "")
}

// TestInstancesSpreadOverTheReaders guards against one reader that answers most of the fleet.
func TestInstancesSpreadOverTheReaders(t *testing.T) {
	is := is.New(t)
	var owners []Reader
	for i := range 10 {
		owners = append(owners, owner(fmt.Sprint("owner-", i), fmt.Sprint(i%5), 0.8))
	}
	readers := Choose(owners)
	count := make(map[instance.ID]int)
	for i := range 300 {
		count[Order(instance.ID(fmt.Sprint("instance-", i)), instance.FailureDomain(fmt.Sprint(i%5)), readers)[0].Instance]++
	}
	for _, r := range readers {
		is.True(count[r.Instance] >= 15 && count[r.Instance] <= 45)
	}
}

func TestTheStoreIsReadAfterReadersFailed(t *testing.T) {
	is := is.New(t)
	s := Selector{Random: func() float64 { return 0.5 }}
	ordered := []Reader{owner("a", "x", 1), owner("b", "x", 1), owner("c", "x", 1)}
	now := epoch
	is.True(s.Next(Route{}, now).Store())
	is.Equal(s.Next(Route{Readers: ordered}, now).Reader, ordered[0])
	s.Failed(ordered[0], now)
	is.Equal(s.Next(Route{Readers: ordered}, now).Reader, ordered[1])
	s.Succeeded(ordered[1])
	is.Equal(s.Next(Route{Readers: ordered}, now).Reader, ordered[1]) // the first one is left out for a while
	now = now.Add(readerRetryDelay)
	is.Equal(s.Next(Route{Readers: ordered}, now).Reader, ordered[0])
	s.Failed(ordered[0], now)
	s.Failed(ordered[1], now)
	got := s.Next(Route{Readers: ordered}, now)
	is.True(got.Store() && got.Fallback)
	is.Equal(got.Delay, directSpread/2) // spread, because others may have lost their readers too
	got = s.Next(Route{Readers: ordered}, now.Add(got.Delay))
	is.True(got.Store() && got.Delay == 0)
	is.Equal(s.Next(Route{Readers: ordered}, now.Add(directSpread/2+directPeriod)).Reader, ordered[0])
}

// TestAReaderAsksOthersWhileTheStoreRejectsIt guards against a reader that holds a whole group back because the store turns
// only this one away.
func TestAReaderAsksOthersWhileTheStoreRejectsIt(t *testing.T) {
	is := is.New(t)
	s := Selector{Random: func() float64 { return 0.5 }}
	route := Route{Readers: []Reader{owner("a", "x", 1), owner("b", "x", 1)}, Reads: true}
	now := epoch
	is.True(s.Next(route, now).Store())
	s.StoreFailed(false, now)
	is.Equal(s.Next(route, now).Reader, route.Readers[0])
	s.Failed(route.Readers[0], now)
	s.Failed(route.Readers[1], now)
	is.Equal(s.Next(route, now), Target{Fallback: true}) // nobody else can be asked
	is.True(s.Next(route, now.Add(storeRetryDelay)).Store())
}

// TestTheFallbackBacksOffWhileTheStoreIsDown guards against a fleet whose instances all call a store that is down, several times
// a second each, because its readers cannot answer either.
func TestTheFallbackBacksOffWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := Selector{Random: func() float64 { return 0.5 }}
	route := Route{Readers: []Reader{owner("a", "x", 1), owner("b", "x", 1), owner("c", "x", 1)}}
	storeCalls := 0
	now := epoch
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		next := s.Next(route, now)
		now = now.Add(next.Delay)
		if !next.Store() {
			s.Failed(next.Reader, now)
			continue
		}
		storeCalls++
		s.StoreFailed(next.Fallback, now)
	}
	is.True(storeCalls <= 1+5) // one a second after the first
	s.Succeeded(route.Readers[0])
	is.Equal(s.Next(route, now).Reader, route.Readers[0]) // a reader that answers again ends it
}

// TestTheBackoffHoldsForEveryCall guards against a call to a store that is down before the backoff has passed, when the call that
// chose the fallback was given up or reads another prefix.
func TestTheBackoffHoldsForEveryCall(t *testing.T) {
	is := is.New(t)
	s := Selector{Random: func() float64 { return 0.5 }}
	route := Route{Readers: []Reader{owner("a", "x", 1), owner("b", "x", 1)}}
	s.Failed(route.Readers[0], epoch)
	s.Failed(route.Readers[1], epoch)
	is.True(s.Next(route, epoch).Store())
	s.StoreFailed(true, epoch)
	for _, after := range []time.Duration{0, minStoreBackoff / 2} {
		next := s.Next(route, epoch.Add(after))
		is.True(next.Store())
		is.Equal(next.Delay, minStoreBackoff-after)
	}
	is.Equal(s.Next(route, epoch.Add(minStoreBackoff)).Delay, time.Duration(0))
}
