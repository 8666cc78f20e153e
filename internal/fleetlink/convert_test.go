package fleetlink

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// TestUnknownNumbersOfAPeer guards against numbers of a malformed or newer peer that are taken for a success or for a promise
// that nothing ran, or that end the process when they are written to a caller.
func TestUnknownNumbersOfAPeer(t *testing.T) {
	is := is.New(t)
	for _, n := range []uint32{14, 255, 256, 1 << 31} {
		r := fromResponse(&fleetv1.RunResponse{Code: n, State: n})
		is.Equal(r.Code, statement.CodeInDoubt)
		is.Equal(r.State, statement.TxFailed)
		q := fromRequest(&fleetv1.RunRequest{Statement: &fleetv1.Statement{Kind: n}, Begin: n})
		is.Equal(q.Statement.Kind, statement.KindInvalid)
		is.Equal(q.Begin, statement.KindInvalid)
	}
	for _, k := range []statement.Kind{statement.KindInvalid, statement.KindSet, statement.KindReset, statement.KindRollback} {
		is.True(!(&operation.Request{Statement: statement.Statement{Kind: k}}).Valid())
	}
	is.True((&operation.Request{Statement: statement.Statement{Kind: statement.KindRead}, Begin: statement.KindBegin}).Valid())
	for _, s := range []statement.Statement{{ID: "1\n2"}, {Text: "READ a\rb"}, {Name: "s\n"}, {Value: "\n"}, {Prepared: statement.Prepared{Definition: "q\r"}}} {
		s.Kind = statement.KindExecute
		is.True(!(&operation.Request{Statement: s}).Valid()) // a member could take it for two messages
	}
	read := statement.Statement{Kind: statement.KindRead}
	is.True((&operation.Request{Statement: read, Values: map[string]string{"zone": "a b"}}).Valid())
	is.True(!(&operation.Request{Statement: read, Values: map[string]string{"zone": "a\nb"}}).Valid())
	is.True(!(&operation.Request{Statement: read, Values: map[string]string{"zo\nne": "a"}}).Valid())
	is.True(!(&operation.Request{Statement: statement.Statement{Kind: statement.KindRead}, Begin: statement.KindCommit}).Valid())
}

// noOwner owns no group and reads nothing.
type noOwner struct{ runs int }

func (n *noOwner) Run(context.Context, *operation.Request) operation.Response {
	n.runs++
	return operation.Response{NotOwner: true}
}

func (*noOwner) End(context.Context, upstream.GroupID, operation.SessionID) {}

func (*noOwner) Grant(upstream.GroupID, []owner.TokenRequest) ([]owner.TokenRequest, bool) {
	return nil, false
}

func (n *noOwner) RunRead(context.Context, *operation.Request) operation.ReadResult {
	n.runs++
	return operation.ReadResult{Decline: delegation.DeclineNoGrant}
}

func (*noOwner) EndRead(context.Context, upstream.GroupID, operation.SessionID) {}

func (*noOwner) ClaimAnnounced(ownership.Claim) bool { return true }

func (*noOwner) Lend(upstream.GroupID, owner.BorrowRequest) (delegation.Offer, delegation.Refusal) {
	return delegation.Offer{}, delegation.RefusalNotOwner
}

func (*noOwner) Follow(context.Context, fanout.Request) (fanout.Answer, error) {
	return fanout.Answer{}, fanout.ErrNotReader
}

func TestStatementsThatNoInstanceSendsAreNotRun(t *testing.T) {
	is := is.New(t)
	local := &noOwner{}
	h := &handler{local: local, reader: local}
	_, err := h.Run(context.Background(), connect.NewRequest(&fleetv1.RunRequest{}))
	is.True(err != nil)
	is.Equal(local.runs, 0)
	read := &fleetv1.RunRequest{Statement: &fleetv1.Statement{Kind: uint32(statement.KindRead)}}
	_, err = h.Run(context.Background(), connect.NewRequest(read))
	is.NoErr(err)
	is.Equal(local.runs, 1)
}

// FuzzPeerMessages checks that no message of a peer ends the process.
func FuzzPeerMessages(f *testing.F) {
	seed, err := proto.Marshal(&fleetv1.RunRequest{Group: "g", Statement: &fleetv1.Statement{Kind: 5, Text: []byte("READ a")}, Floor: &fleetv1.Position{Term: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, b []byte) {
		local := &noOwner{}
		h := &handler{local: local, reader: local}
		ctx := context.Background()
		run, end, tokens, follow := &fleetv1.RunRequest{}, &fleetv1.EndRequest{}, &fleetv1.TakeTokensRequest{}, &fleetv1.FollowRequest{}
		if proto.Unmarshal(b, run) == nil {
			_, _ = h.Run(ctx, connect.NewRequest(run))
			_, _ = h.RunRead(ctx, connect.NewRequest(&fleetv1.RunReadRequest{Request: run}))
		}
		if proto.Unmarshal(b, end) == nil {
			_, _ = h.End(ctx, connect.NewRequest(end))
		}
		if proto.Unmarshal(b, tokens) == nil {
			_, _ = h.TakeTokens(ctx, connect.NewRequest(tokens))
		}
		if proto.Unmarshal(b, follow) == nil {
			_, _ = h.Follow(ctx, connect.NewRequest(follow))
		}
		answered, followed := &fleetv1.RunResponse{}, &fleetv1.FollowResponse{}
		if proto.Unmarshal(b, answered) == nil {
			r := fromResponse(answered)
			_, _ = r.Code.String(), r.Code.NotRun()
		}
		if proto.Unmarshal(b, followed) == nil {
			_ = fromFollowResponse(followed)
		}
	})
}
