package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// auditTimeout bounds the question for one instance's records.
	auditTimeout = 3 * time.Second
	// defaultSince is the start of the time range that is explained.
	defaultSince = "1h"
)

// auditFlags select records.
type auditFlags struct {
	since, until           string
	group, customer, trace string
	limit                  int
}

func (a *app) declareAudit(cli *kingpin.Application) {
	explain := cli.Command("explain", "Say in sentences what happened and why.")
	asked := declareAuditFlags(explain)
	a.command(explain, func(ctx context.Context) error { return a.explain(ctx, asked) })

	list := cli.Command("audit", "Print audit records.")
	wanted := declareAuditFlags(list)
	a.command(list, func(ctx context.Context) error { return a.listAudit(ctx, wanted) })
}

func declareAuditFlags(clause *kingpin.CmdClause) *auditFlags {
	f := &auditFlags{}
	clause.Flag("since", "Start: a time before now such as 30m, or 2026-07-14T23:00:00Z.").Default(defaultSince).StringVar(&f.since)
	clause.Flag("until", "End, in the same forms. Default: now.").StringVar(&f.until)
	clause.Flag("group", "Only this group.").StringVar(&f.group)
	clause.Flag("customer", "Only this customer.").StringVar(&f.customer)
	clause.Flag("trace", "Only the request with this trace id.").StringVar(&f.trace)
	clause.Flag("limit", "Highest number of records, the newest ones.").Default(fmt.Sprint(audit.DefaultLimit)).IntVar(&f.limit)
	return f
}

func (f *auditFlags) query(now time.Time) (audit.Query, error) {
	since, err := parseTime(f.since, now)
	if err != nil {
		return audit.Query{}, err
	}
	until, err := parseTime(f.until, now)
	if err != nil {
		return audit.Query{}, err
	}
	return audit.Query{
		Since: since, Until: until, Group: upstream.GroupID(f.group), Customer: f.customer,
		Trace: request.TraceID(f.trace), Limit: f.limit,
	}, nil
}

// parseTime reads a time, or a duration before now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &usageError{err: errors.Errorf("%q is neither a duration such as 30m nor a time such as 2026-07-14T23:00:00Z", text)}
	}
	return t, nil
}

func (a *app) explain(ctx context.Context, f *auditFlags) error {
	records, q, err := a.records(ctx, f)
	if err != nil {
		return err
	}
	e := audit.Explain(records, q)
	if a.o.output == "json" {
		return a.printJSON(e)
	}
	fmt.Fprint(a.env.Out, e.String())
	return nil
}

func (a *app) listAudit(ctx context.Context, f *auditFlags) error {
	records, q, err := a.records(ctx, f)
	if err != nil {
		return err
	}
	t := &table{header: []string{"TIME (UTC)", "INSTANCE", "KIND", "GROUP", "CUSTOMER", "OPERATOR", "VERSION", "TERM", "CAUSE"}}
	selected := audit.Select(records, q)
	for _, r := range selected {
		t.add(r.Time.UTC().Format("2006-01-02 15:04:05.000"), string(r.Instance), string(r.Kind), string(r.Group), r.Customer,
			r.Operator, versionText(r.Version), versionText(uint64(r.Term)), r.Cause)
	}
	t.value = selected
	return a.print(t)
}

// records collects what the key-value service and the instances hold. What does not answer is named and left out.
func (a *app) records(ctx context.Context, f *auditFlags) ([]audit.Record, audit.Query, error) {
	ctx, cancel := context.WithTimeout(ctx, a.o.timeout)
	defer cancel()
	q, err := f.query(a.env.Now())
	if err != nil {
		return nil, q, err
	}
	out, storeErr := audit.ReadStored(ctx, a.services.Store, q)
	if storeErr != nil {
		a.warn("records in the key-value service are missing: %v", storeErr)
	}
	targets, err := a.targets(ctx)
	if err != nil && storeErr != nil {
		return nil, q, err
	}
	if err != nil {
		a.warn("records of the instances are missing: %v", err)
	}
	for i, r := range a.askRecords(ctx, targets, q) {
		if r.err != nil {
			a.warn("records of %s are missing: %v", targets[i].name, r.err)
		}
		out = append(out, r.records...)
	}
	return out, q, nil
}

type recordsAnswer struct {
	records []audit.Record
	err     error
}

func (a *app) askRecords(ctx context.Context, targets []target, q audit.Query) []recordsAnswer {
	out := make([]recordsAnswer, len(targets))
	var g errgroup.Group
	g.SetLimit(statusLimit)
	for i, t := range targets {
		g.Go(func() error {
			out[i].records, out[i].err = a.askRecordsOf(ctx, t, q)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (a *app) askRecordsOf(ctx context.Context, t target, q audit.Query) ([]audit.Record, error) {
	if t.address == "" {
		return nil, errors.New("it has not published its operators' address")
	}
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	r, err := a.services.Operators(t.address).Audit(ctx, connect.NewRequest(&peerv1.AuditRequest{
		SinceUnixMs: unixMS(q.Since), UntilUnixMs: unixMS(q.Until), Group: string(q.Group), Customer: q.Customer,
		Trace: string(q.Trace), Limit: uint32(max(q.Limit, 0)),
	}))
	if err != nil {
		return nil, err
	}
	out := make([]audit.Record, len(r.Msg.GetRecords()))
	for i, x := range r.Msg.GetRecords() {
		if err := json.Unmarshal(x.GetJson(), &out[i]); err != nil {
			return nil, errors.Wrap(err, "decode record")
		}
	}
	return out, nil
}

func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
