package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

// newSettled returns a directory with the members a and b, long after the store was reached.
func newSettled() (*Directory, time.Time) {
	d := New()
	d.StoreAnswered(epoch)
	d.Put(member.Member{ID: "a", Group: "g"}, epoch)
	d.Put(member.Member{ID: "b", Group: "g"}, epoch)
	return d, epoch.Add(time.Minute)
}

func known(d *Directory) int {
	n := 0
	d.All(func(member.Member) { n++ })
	return n
}

// Guards against taking members for gone whose entries expired while the store was unavailable.
func TestEntriesThatExpireInAnOutageAreKeptUntilTheyCanBeBack(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	d.StoreFailed()
	now = now.Add(4 * time.Second)
	d.StoreAnswered(now)
	is.True(d.Expired("a", now))
	is.True(d.Expired("b", now.Add(time.Second))) // expired after the return
	at, pending := d.NextExpiry()
	is.True(pending)
	is.Equal(at, now.Add(SettleTime))

	d.Put(member.Member{ID: "a", Group: "g"}, epoch) // back in time
	is.Equal(len(d.Expire(at.Add(-1))), 0)
	gone := d.Expire(at)
	is.Equal(len(gone), 1)
	is.Equal(gone[0].ID, upstream.MemberID("b"))
	is.Equal(known(d), 1)
	_, pending = d.NextExpiry()
	is.True(!pending)
}

// Guards against members that are dropped between two outages.
func TestAnotherOutageProlongsTheWait(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	d.StoreFailed()
	d.StoreAnswered(now)
	is.True(d.Expired("a", now))
	d.StoreFailed()
	_, pending := d.NextExpiry()
	is.True(!pending)
	now = now.Add(time.Minute)
	is.Equal(len(d.Expire(now)), 0)
	d.StoreAnswered(now)
	is.Equal(len(d.Expire(now.Add(SettleTime-1))), 0)
	is.Equal(len(d.Expire(now.Add(SettleTime))), 1)
}

// Guards against requests to members that have left: without an outage, or after the announcement of their shutdown.
func TestMembersThatLeaveAreGoneAtOnce(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	is.True(!d.Expired("a", now))
	is.True(!d.Expired("a", now)) // not known any more
	d.StoreFailed()
	d.Put(member.Member{ID: "b", Group: "g", Leaving: true}, epoch)
	is.True(!d.Expired("b", now))
	is.Equal(known(d), 0)
}

// Guards against a new owner that takes the members which are back first for all that live.
func TestAListRightAfterAnOutageIsNotComplete(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	d.Restart(now)
	is.Equal(known(d), 0)
	is.True(d.CompleteAt().IsZero())
	d.StoreFailed()
	d.StoreAnswered(now)
	is.True(d.CompleteAt().IsZero()) // what was known before the outage is kept
	d.Restart(now.Add(time.Second))
	is.Equal(d.CompleteAt(), now.Add(SettleTime))
	fresh := New()
	fresh.StoreAnswered(now)
	fresh.Restart(now)
	is.Equal(fresh.CompleteAt(), now.Add(SettleTime))
}

// Guards against members that come back with an older copy of the store's data: one that has left, and one before the announcement of
// its shutdown.
func TestMembersOfAnOlderCopyDoNotComeBack(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	is.True(!d.Expired("a", now))
	d.Put(member.Member{ID: "b", Group: "g", Leaving: true}, now)
	d.StoreRestored(now)
	_, ok := d.Put(member.Member{ID: "a", Group: "g"}, now)
	is.True(!ok)
	m, ok := d.Put(member.Member{ID: "b", Group: "g"}, now)
	is.True(ok && m.Leaving)
	_, ok = d.Put(member.Member{ID: "a", Group: "g", Born: 7}, now) // another process
	is.True(ok)

	now = now.Add(SettleTime)
	m, _ = d.Put(member.Member{ID: "b", Group: "g"}, now)
	is.True(!m.Leaving)
	is.True(!d.Expired("b", now))
	_, ok = d.Put(member.Member{ID: "b", Group: "g"}, now)
	is.True(ok)
}

// Guards against members that are dropped because the store's copy is older than their entries.
func TestMembersThatAnOlderCopyLacksAreKept(t *testing.T) {
	is := is.New(t)
	d, now := newSettled()
	d.StoreRestored(now)
	is.Equal(len(d.Missing(nil)), 2)
	is.True(d.Expired("a", now))
	is.Equal(len(d.Expire(now.Add(SettleTime))), 1)
}
