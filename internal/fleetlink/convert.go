package fleetlink

import (
	"time"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/revision"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

func toSession(s operation.SessionID) *fleetv1.Session {
	return &fleetv1.Session{Instance: string(s.Instance), Number: s.Number}
}

func fromSession(s *fleetv1.Session) operation.SessionID {
	return operation.SessionID{Instance: instance.ID(s.GetInstance()), Number: s.GetNumber()}
}

func toPosition(p position.Position) *fleetv1.Position {
	if p.IsZero() {
		return nil
	}
	return &fleetv1.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}

func fromPosition(p *fleetv1.Position) position.Position {
	return position.Position{Term: position.Term(p.GetTerm()), LSN: position.LSN(p.GetLsn())}
}

func toRequest(r *operation.Request) *fleetv1.RunRequest {
	s := r.Statement
	return &fleetv1.RunRequest{
		Session:         toSession(r.Session),
		Group:           string(r.Group),
		Database:        []byte(r.Database),
		Key:             []byte(r.Key),
		CatalogRevision: r.CatalogRevision,
		Statement: &fleetv1.Statement{
			Id: []byte(s.ID), Kind: uint32(s.Kind), Text: []byte(s.Text), Name: []byte(s.Name), Value: []byte(s.Value),
			PreparedWrites: s.Prepared.Writes, PreparedShape: []byte(s.Prepared.Definition),
		},
		Begin:         uint32(r.Begin),
		InTransaction: r.InTransaction,
		Values:        toValues(r.Values),
		Floor:         toPosition(r.Floor),
		ElapsedMs:     uint32(r.Elapsed.Milliseconds()),
		Customer:      r.Customer,
		Charged:       r.Charged,
	}
}

func fromRequest(r *fleetv1.RunRequest) *operation.Request {
	s := r.GetStatement()
	return &operation.Request{
		Session:         fromSession(r.GetSession()),
		Group:           upstream.GroupID(r.GetGroup()),
		Database:        string(r.GetDatabase()),
		Key:             string(r.GetKey()),
		CatalogRevision: r.GetCatalogRevision(),
		Statement: statement.Statement{
			ID: string(s.GetId()), Kind: statement.KindFromWire(s.GetKind()), Text: string(s.GetText()), Name: string(s.GetName()),
			Value: string(s.GetValue()), Prepared: statement.Prepared{Writes: s.GetPreparedWrites(), Definition: string(s.GetPreparedShape())},
		},
		Begin:         statement.KindFromWire(r.GetBegin()),
		InTransaction: r.GetInTransaction(),
		Values:        fromValues(r.GetValues()),
		Floor:         fromPosition(r.GetFloor()),
		Elapsed:       time.Duration(r.GetElapsedMs()) * time.Millisecond,
		Customer:      r.GetCustomer(),
		Charged:       r.GetCharged(),
	}
}

func toValues(values map[string]string) []*fleetv1.SessionValue {
	list := make([]*fleetv1.SessionValue, 0, len(values))
	for name, value := range values {
		list = append(list, &fleetv1.SessionValue{Name: []byte(name), Value: []byte(value)})
	}
	return list
}

func fromValues(list []*fleetv1.SessionValue) map[string]string {
	if len(list) == 0 {
		return nil
	}
	values := make(map[string]string, len(list))
	for _, v := range list {
		values[string(v.GetName())] = string(v.GetValue())
	}
	return values
}

func toRows(rows []string) [][]byte {
	list := make([][]byte, len(rows))
	for i, row := range rows {
		list[i] = []byte(row)
	}
	return list
}

func fromRows(list [][]byte) []string {
	if len(list) == 0 {
		return nil
	}
	rows := make([]string, len(list))
	for i, row := range list {
		rows[i] = string(row)
	}
	return rows
}

func toClaim(c ownership.Claim) *fleetv1.Claim {
	if c.Owner == "" {
		return nil
	}
	return &fleetv1.Claim{
		Instance: string(c.Owner), Process: c.Process, Address: c.Address, Cores: c.Cores, Domain: string(c.Domain), Revision: c.Revision,
	}
}

// fromClaim returns a claim without its group, which the request names.
func fromClaim(c *fleetv1.Claim) ownership.Claim {
	return ownership.Claim{
		Owner: instance.ID(c.GetInstance()), Process: c.GetProcess(), Address: c.GetAddress(), Cores: c.GetCores(),
		Domain: instance.FailureDomain(c.GetDomain()), Revision: c.GetRevision(), Era: revision.Era(c.GetRevision()),
	}
}

func toResponse(r operation.Response) *fleetv1.RunResponse {
	return &fleetv1.RunResponse{
		Rows: toRows(r.Rows), Receipt: []byte(r.Receipt), Code: uint32(r.Code), Detail: []byte(r.Detail), State: uint32(r.State),
		Position: toPosition(r.Position), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), NotOwner: r.NotOwner,
		CatalogRevision: r.CatalogRevision, OverRate: r.OverRate, Owner: toClaim(r.Owner),
		Began: r.Began, BeganAfterMs: uint32(r.BeganAfter.Milliseconds()),
	}
}

func fromResponse(r *fleetv1.RunResponse) operation.Response {
	return operation.Response{
		Answer: statement.Answer{
			Rows: fromRows(r.GetRows()), Receipt: string(r.GetReceipt()), Code: statement.CodeFromWire(r.GetCode()), Detail: string(r.GetDetail()),
			State: statement.TxStateFromWire(r.GetState()), Position: fromPosition(r.GetPosition()),
		},
		RetryAfter:      time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		OverRate:        r.GetOverRate(),
		Began:           r.GetBegan(),
		BeganAfter:      time.Duration(r.GetBeganAfterMs()) * time.Millisecond,
		NotOwner:        r.GetNotOwner(),
		CatalogRevision: r.GetCatalogRevision(),
		Owner:           fromClaim(r.GetOwner()),
	}
}

func toTokens(list []owner.TokenRequest) []*fleetv1.TokenRequest {
	out := make([]*fleetv1.TokenRequest, len(list))
	for i, t := range list {
		out[i] = &fleetv1.TokenRequest{Customer: t.Customer, Tokens: uint32(t.Tokens)}
	}
	return out
}

func fromTokens(list []*fleetv1.TokenRequest) []owner.TokenRequest {
	out := make([]owner.TokenRequest, len(list))
	for i, t := range list {
		out[i] = owner.TokenRequest{Customer: t.GetCustomer(), Tokens: int(t.GetTokens())}
	}
	return out
}
