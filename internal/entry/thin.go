// Package entry serves callers.
package entry

import (
	"context"
	"encoding/binary"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

type Homes interface {
	Home(upstream.GroupID) (instance.ID, bool)
	Address(instance.ID) (instance.Info, bool)
}

type Dispatcher struct {
	Self  instance.ID
	Local request.Runner
	Homes Homes
	Link  func(instance.Info) request.Runner
}

func (d *Dispatcher) runner(g upstream.GroupID, hint instance.ID) request.Runner {
	id := hint
	if id == "" {
		id, _ = d.Homes.Home(g)
	}
	if id == "" || id == d.Self {
		return d.Local
	}
	info, ok := d.Homes.Address(id)
	if !ok {
		return d.Local
	}
	return d.Link(info)
}

func (d *Dispatcher) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	deadline := time.Now().Add(r.Timeout)
	var hint instance.ID
	for {
		res := d.runner(r.Group, hint).Run(ctx, r, a)
		hint = res.Home
		if res.Outcome != request.OutcomeNotRun || res.Code != "57P03" || time.Now().After(deadline) || r.InTransaction {
			return res
		}
		time.Sleep(20 * time.Millisecond)
		r.Timeout = time.Until(deadline)
	}
}

func (d *Dispatcher) End(ctx context.Context, g upstream.GroupID, s request.SessionID) {
	d.runner(g, "").End(ctx, g, s)
}
func (d *Dispatcher) Cancel(ctx context.Context, g upstream.GroupID, s request.SessionID) {
	d.runner(g, "").Cancel(ctx, g, s)
}

type Options struct {
	Info     instance.Info
	Snapshot func() *config.Snapshot
	Runner   request.Runner
}

type Server struct {
	o     Options
	class *classify.Classifier
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
	n     uint64
}

func NewServer(o Options) *Server {
	return &Server{o: o, class: classify.New(), conns: map[net.Conn]struct{}{}}
}

func (s *Server) Apply(*config.Snapshot) {}
func (s *Server) Drain(ctx context.Context) error {
	return nil
}
func (s *Server) Kill() {
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.n++
		n := s.n
		s.mu.Unlock()
		s.wg.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			_ = s.handle(ctx, c, n)
		})
	}
}

type answer struct{ buf []byte }

func (a *answer) Write(p []byte) (int, error) { a.buf = append(a.buf, p...); return len(p), nil }

func (s *Server) handle(ctx context.Context, c net.Conn, n uint64) error {
	b := pgproto3.NewBackend(c, c)
	var start *pgproto3.StartupMessage
	for start == nil {
		m, err := b.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			start = m
		case *pgproto3.CancelRequest:
			return nil
		default:
			c.Write([]byte{'N'})
		}
	}
	snap := s.o.Snapshot()
	fail := func(code, msg string) error {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: msg})
		return b.Flush()
	}
	user := start.Parameters["user"]
	cust, key, ok := keys.Find(snap, user)
	if !ok {
		return fail("28000", "unknown user")
	}
	route, ok := snap.Route(start.Parameters["database"])
	if !ok || !route.Allows(cust.Name) {
		return fail("3D000", "unknown database")
	}
	if err := s.scram(b, key); err != nil {
		return fail("28P01", err.Error())
	}
	b.Send(&pgproto3.AuthenticationOk{})
	for k, v := range map[string]string{"server_version": "15.0", "client_encoding": "UTF8", "standard_conforming_strings": "on", "integer_datetimes": "on"} {
		b.Send(&pgproto3.ParameterStatus{Name: k, Value: v})
	}
	b.Send(&pgproto3.BackendKeyData{ProcessID: uint32(n), SecretKey: binary.BigEndian.AppendUint32(nil, uint32(n))})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := b.Flush(); err != nil {
		return err
	}
	base := request.Request{
		Session: request.SessionID(string(s.o.Info.ID) + "/" + strconv.FormatUint(n, 10)), Customer: cust.Name, Key: key.Name, Route: route.Database,
		Group: route.Group,
	}
	if v, err := strconv.Atoi(start.Parameters["celerystep.max_age_ms"]); err == nil {
		base.MaxAge = time.Duration(v) * time.Millisecond
	}
	defer s.o.Runner.End(context.WithoutCancel(ctx), base.Group, base.Session)
	return s.loop(ctx, b, &base)
}

func (s *Server) loop(ctx context.Context, b *pgproto3.Backend, base *request.Request) error {
	prepared := map[string]request.Prepared{}
	var batch []byte
	kind := request.KindRead
	begins := false
	var refs []request.Prepared
	count := 0
	trace := 0
	for {
		m, err := b.Receive()
		if err != nil {
			return err
		}
		run := false
		add := func(x pgproto3.FrontendMessage) { batch, _ = x.Encode(batch) }
		look := func(text string) {
			st, err := s.class.Classify(ctx, []byte(text))
			if err != nil || st.Kind == request.KindWrite {
				kind = request.KindWrite
			}
			if st != nil && st.Begins {
				begins = true
			}
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil
		case *pgproto3.Query:
			look(m.String)
			add(m)
			run = true
		case *pgproto3.Parse:
			look(m.Query)
			p := request.Prepared{Name: m.Name, Query: m.Query, ParamOIDs: append([]uint32(nil), m.ParameterOIDs...)}
			prepared[m.Name] = p
			refs = append(refs, p)
			add(m)
		case *pgproto3.Bind:
			if p, ok := prepared[m.PreparedStatement]; ok {
				look(p.Query)
				refs = append(refs, p)
			}
			add(m)
		case *pgproto3.Describe:
			if p, ok := prepared[m.Name]; ok && m.ObjectType == 'S' {
				refs = append(refs, p)
			}
			add(m)
		case *pgproto3.Execute:
			count++
			add(m)
		case *pgproto3.Sync:
			add(m)
			run = true
		case pgproto3.FrontendMessage:
			add(m)
		}
		if !run {
			continue
		}
		trace++
		r := *base
		r.Trace = request.TraceID(string(base.Session) + "-" + strconv.Itoa(trace))
		r.Kind, r.Begins, r.Messages, r.Prepared = kind, begins, batch, refs
		r.Timeout = 5 * time.Second
		snap := s.o.Snapshot()
		r.ConfigVersion = snap.Version()
		var a answer
		res := s.o.Runner.Run(ctx, &r, &a)
		if res.HasFloor {
			base.Floor, base.HasFloor = res.Floor, true
		}
		base.InTransaction = res.HoldsTransaction(base.InTransaction, begins)
		out := a.buf
		if res.Outcome != request.OutcomeDone {
			e := &pgproto3.ErrorResponse{Severity: "ERROR", Code: res.Code, Message: res.Message, Detail: "trace=" + string(r.Trace) + " step=" + res.Step + " peer=" + res.Peer}
			out, _ = e.Encode(out)
		}
		tx := res.TxStatus
		if tx == 0 {
			tx = 'I'
		}
		out, _ = (&pgproto3.ReadyForQuery{TxStatus: tx}).Encode(out)
		if err := writeAll(b, out); err != nil {
			return err
		}
		batch, kind, begins, refs, count = nil, request.KindRead, false, nil, 0
	}
}

type raw []byte

func (raw) Backend()                               {}
func (raw) Decode([]byte) error                    { return nil }
func (r raw) Encode(dst []byte) ([]byte, error)    { return append(dst, r...), nil }
func writeAll(b *pgproto3.Backend, p []byte) error { b.Send(raw(p)); return b.Flush() }

func (s *Server) scram(b *pgproto3.Backend, key *config.Key) error {
	srv, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return keys.Credentials(key), nil })
	if err != nil {
		return err
	}
	conv := srv.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := b.Flush(); err != nil {
		return err
	}
	b.SetAuthType(pgproto3.AuthTypeSASL)
	m, err := b.Receive()
	if err != nil {
		return err
	}
	init, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return errors.New("unexpected message")
	}
	out, err := conv.Step(string(init.Data))
	if err != nil {
		return err
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(out)})
	if err := b.Flush(); err != nil {
		return err
	}
	b.SetAuthType(pgproto3.AuthTypeSASLContinue)
	m, err = b.Receive()
	if err != nil {
		return err
	}
	resp, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return errors.New("unexpected message")
	}
	out, err = conv.Step(string(resp.Data))
	if err != nil {
		return err
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(out)})
	return b.Flush()
}
