// Package operator serves celerystepctl on an instance: status, audit records, emergency revocations and switchovers.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// ErrNotHome reports a switchover of a group whose home is another instance.
var ErrNotHome = errors.New("this instance is not the home of the group")

// StatusSource describes the instance.
type StatusSource interface {
	Status() Status
}

// Trail holds the audit records of the instance and the copies it keeps for others.
type Trail interface {
	Records(q audit.Query) []audit.Record
}

// Keys takes emergency revocations and tells which keys exist.
type Keys interface {
	Snapshot() *config.Snapshot
	Revoke(r config.Revocation)
}

// Switcher moves the primary of a group whose home this instance is. It returns ErrNotHome for other groups.
type Switcher interface {
	Switchover(ctx context.Context, g upstream.GroupID, target upstream.MemberID, operator string) (upstream.MemberID, position.Term, error)
}

// Options configures the service. All fields are required.
type Options struct {
	Status   StatusSource
	Trail    Trail
	Keys     Keys
	Switcher Switcher
	Log      hclog.Logger
}

// maxRequestBytes bounds a request; the largest one names a group, a member and an operator.
const maxRequestBytes = 64 << 10

// NewHandler returns the path and the handler of the service for an HTTP server on the operators' address.
func NewHandler(o Options) (string, http.Handler) {
	return peerv1connect.NewOperatorServiceHandler(&service{o: o}, connect.WithReadMaxBytes(maxRequestBytes))
}

type service struct {
	o Options
}

// Status returns the state of the instance as JSON.
func (s *service) Status(
	context.Context, *connect.Request[peerv1.StatusRequest],
) (*connect.Response[peerv1.StatusResponse], error) {
	document, err := json.Marshal(s.o.Status.Status())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errors.Wrap(err, "encode status"))
	}
	return connect.NewResponse(&peerv1.StatusResponse{Json: document}), nil
}

// Audit returns the records that the request selects.
func (s *service) Audit(
	_ context.Context, r *connect.Request[peerv1.AuditRequest],
) (*connect.Response[peerv1.AuditResponse], error) {
	out := &peerv1.AuditResponse{}
	for _, record := range s.o.Trail.Records(queryOf(r.Msg)) {
		document, err := json.Marshal(record)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, errors.Wrap(err, "encode record"))
		}
		out.Records = append(out.Records, &peerv1.AuditRecord{Json: document})
	}
	return connect.NewResponse(out), nil
}

func queryOf(m *peerv1.AuditRequest) audit.Query {
	return audit.Query{
		Since:    fromUnixMS(m.GetSinceUnixMs()),
		Until:    fromUnixMS(m.GetUntilUnixMs()),
		Group:    upstream.GroupID(m.GetGroup()),
		Customer: m.GetCustomer(),
		Trace:    request.TraceID(m.GetTrace()),
		Limit:    int(min(m.GetLimit(), audit.RingRecords)),
	}
}

func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// RevokeKey takes an emergency revocation, which spreads by gossip. It is meant for outages of the key-value service.
func (s *service) RevokeKey(
	_ context.Context, r *connect.Request[peerv1.RevokeKeyRequest],
) (*connect.Response[peerv1.RevokeKeyResponse], error) {
	m := r.Msg
	if m.GetOperator() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the operator's name is missing"))
	}
	snapshot := s.o.Keys.Snapshot()
	if snapshot == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration is in force yet"))
	}
	if !keyExists(snapshot, m.GetCustomer(), m.GetKey()) {
		err := errors.Errorf("customer %q has no key %q", m.GetCustomer(), m.GetKey())
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	s.o.Keys.Revoke(config.Revocation{
		KeyRef:   config.KeyRef{Customer: m.GetCustomer(), Key: m.GetKey()},
		Operator: m.GetOperator(),
		UnixMS:   time.Now().UnixMilli(),
	})
	s.o.Log.Warn("emergency revocation ordered", "customer", m.GetCustomer(), "key", m.GetKey(), "operator", m.GetOperator())
	return connect.NewResponse(&peerv1.RevokeKeyResponse{}), nil
}

// keyExists also finds withdrawn and revoked keys, so that repeating an order succeeds.
func keyExists(s *config.Snapshot, customer, key string) bool {
	c, ok := s.Customer(customer)
	if !ok {
		return false
	}
	for _, k := range c.Keys {
		if k.Name == key {
			return true
		}
	}
	return false
}

// Switchover moves the primary of a group.
func (s *service) Switchover(
	ctx context.Context, r *connect.Request[peerv1.SwitchoverRequest],
) (*connect.Response[peerv1.SwitchoverResponse], error) {
	m := r.Msg
	if m.GetOperator() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the operator's name is missing"))
	}
	s.o.Log.Info("switchover ordered", "group", m.GetGroup(), "target", m.GetTarget(), "operator", m.GetOperator())
	primary, term, err := s.o.Switcher.Switchover(ctx, upstream.GroupID(m.GetGroup()), upstream.MemberID(m.GetTarget()), m.GetOperator())
	switch {
	case errors.Is(err, ErrNotHome):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeAborted, errors.Wrap(err, "switchover of group "+m.GetGroup()))
	}
	return connect.NewResponse(&peerv1.SwitchoverResponse{Primary: string(primary), Term: uint64(term)}), nil
}
