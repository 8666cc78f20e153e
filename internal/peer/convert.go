package peer

import (
	"time"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// EncodeRequest replaces the fields of m with those of r. The message shares memory with r.
func EncodeRequest(m *peerv1.RunRequest, r *request.Request) {
	m.Session = string(r.Session)
	m.Trace = string(r.Trace)
	m.Customer = r.Customer
	m.Key = r.Key
	m.Route = r.Route
	m.Group = string(r.Group)
	m.ConfigVersion = r.ConfigVersion
	m.Kind = uint32(r.Kind)
	m.Idempotent = r.Idempotent
	m.Begins = r.Begins
	m.InTransaction = r.InTransaction
	m.Floor = encodePosition(r.Floor, r.HasFloor)
	m.FloorFromToken = r.FloorFromToken
	m.MaxAgeUs = microseconds(r.MaxAge)
	m.TimeoutUs = microseconds(r.Timeout)
	m.Messages = r.Messages
	m.Prepared = m.Prepared[:0]
	for i := range r.Prepared {
		p := &r.Prepared[i]
		m.Prepared = append(m.Prepared, &peerv1.Prepared{Name: p.Name, Query: p.Query, ParamOids: p.ParamOIDs})
	}
	m.Parameters = r.Parameters
}

// DecodeRequest returns the request encoded in m. The request shares memory with m.
func DecodeRequest(m *peerv1.RunRequest) *request.Request {
	r := &request.Request{
		Session:        request.SessionID(m.Session),
		Trace:          request.TraceID(m.Trace),
		Customer:       m.Customer,
		Key:            m.Key,
		Route:          m.Route,
		Group:          upstream.GroupID(m.Group),
		ConfigVersion:  m.ConfigVersion,
		Kind:           decodeKind(m.Kind),
		Idempotent:     m.Idempotent,
		Begins:         m.Begins,
		InTransaction:  m.InTransaction,
		FloorFromToken: m.FloorFromToken,
		MaxAge:         duration(m.MaxAgeUs),
		Timeout:        duration(m.TimeoutUs),
		Messages:       m.Messages,
		Parameters:     m.Parameters,
	}
	r.Floor, r.HasFloor = decodePosition(m.Floor)
	if len(m.Prepared) > 0 {
		r.Prepared = make([]request.Prepared, len(m.Prepared))
	}
	for i, p := range m.Prepared {
		r.Prepared[i] = request.Prepared{Name: p.Name, Query: p.Query, ParamOIDs: p.ParamOids}
	}
	return r
}

// decodeKind treats a kind unknown to this version as a write.
func decodeKind(k uint32) request.Kind {
	if k == uint32(request.KindRead) {
		return request.KindRead
	}
	return request.KindWrite
}

// EncodeResult returns the encoded result.
func EncodeResult(r *request.Result) *peerv1.RunResult {
	return &peerv1.RunResult{
		Outcome:  uint32(r.Outcome),
		TxStatus: uint32(r.TxStatus),
		Floor:    encodePosition(r.Floor, r.HasFloor),
		Member:   string(r.Member),
		Replica:  r.Replica,
		Code:     r.Code,
		Message:  r.Message,
		Step:     r.Step,
		Peer:     r.Peer,
		Home:     string(r.Home),
	}
}

// DecodeResult returns the result encoded in m. An outcome unknown to this version becomes request.OutcomeUnknown.
func DecodeResult(m *peerv1.RunResult) request.Result {
	r := request.Result{
		TxStatus: byte(m.TxStatus),
		Member:   upstream.MemberID(m.Member),
		Replica:  m.Replica,
		Code:     m.Code,
		Message:  m.Message,
		Step:     m.Step,
		Peer:     m.Peer,
		Home:     instance.ID(m.Home),
	}
	if o := request.Outcome(m.Outcome); o == request.OutcomeDone || o == request.OutcomeNotRun {
		r.Outcome = o
	}
	r.Floor, r.HasFloor = decodePosition(m.Floor)
	return r
}

func encodePosition(p position.Position, known bool) *peerv1.Position {
	if !known {
		return nil
	}
	return &peerv1.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}

func decodePosition(m *peerv1.Position) (position.Position, bool) {
	if m == nil {
		return position.Position{}, false
	}
	return position.Position{Term: position.Term(m.Term), LSN: position.LSN(m.Lsn)}, true
}

func microseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

func duration(us uint64) time.Duration {
	const longest = uint64(1<<63-1) / uint64(time.Microsecond)
	return time.Duration(min(us, longest)) * time.Microsecond
}
