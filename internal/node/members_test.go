package node

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/upstream"
)

// memberDecoder decodes entries below the prefix of the members: the key is the member's id.
type memberDecoder struct{ fakeDecoder }

func (memberDecoder) Decode(e mirror.Event) (Change, bool) {
	id := upstream.MemberID(e.Key)
	return Change{Member: &MemberChange{ID: id, Member: &member.Member{ID: id, Group: "g", Slots: 3}}}, true
}

// memberStore lists one member.
type memberStore struct {
	fakeStore
	id string
}

func (s *memberStore) List(context.Context, string) ([]mirror.Entry, mirror.Version, error) {
	s.record("list")
	return []mirror.Entry{{Key: s.id, Revision: 1}}, mirror.Version{Revision: 1}, nil
}

// TestMembersAreReadBeforeAClaim guards against an owner that uses a member which has left while this process owned no group
// and did not watch the members.
func TestMembersAreReadBeforeAClaim(t *testing.T) {
	is := is.New(t)
	store := &memberStore{id: "old"}
	n := New(Options{
		Store: store, Decoder: memberDecoder{}, Clock: time.Now, Log: hclog.NewNullLogger(), Owner: owner.Options{Log: hclog.NewNullLogger()},
	})
	is.NoErr(n.loadMembers(context.Background()))
	is.Equal(n.Owner.Members("g")[0].ID, upstream.MemberID("old"))
	store.id = "new"
	is.NoErr(n.loadMembers(context.Background()))
	is.Equal(len(n.Owner.Members("g")), 1)
	is.Equal(n.Owner.Members("g")[0].ID, upstream.MemberID("new"))
	n.watchesMembers.Store(true)
	is.NoErr(n.loadMembers(context.Background()))
	is.Equal(len(store.calls), 2) // the watch keeps them current
}
