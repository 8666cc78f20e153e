package owner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/upstream"
)

// panickingPorts panics in every call to a member or to the platform.
type panickingPorts struct{}

func (panickingPorts) Dial(context.Context, member.Member, string, func()) (member.Conn, error) {
	panic("dial")
}

func (panickingPorts) Promote(context.Context, upstream.GroupID, upstream.MemberID, uint64) (promotion.Result, error) {
	panic("promote")
}

// Guards against an unexpected answer of a member or of the platform that ends the process: dials, probes and orders run in
// goroutines of their own.
func TestPanicsOfPortsCountAsFailures(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	g.o.Members, g.o.Promoter = panickingPorts{}, panickingPorts{}
	m := member.Member{ID: "m1"}
	g.setMembers([]member.Member{m})
	g.machine.SetMembers([]promotion.Info{{ID: "m1"}}, epoch)
	g.dial(dispatch.Open{Conn: 1, Member: "m1", Customer: "mill"}, m)
	is.True(g.machine.Healthy("m1")) // one failure
	g.probe(context.Background(), m)
	is.True(!g.machine.Healthy("m1"))
	g.promote(context.Background(), "m1", 7)
}
