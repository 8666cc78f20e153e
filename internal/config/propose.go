package config

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/platform"
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	// Base is the version that the change was made for; 0 for the first configuration.
	Base uint64
	// Mutate changes its argument, a copy of the base.
	Mutate func(*Cluster) error
	// Operator and OperationID identify who asked and the change. Repeating a proposal with the same OperationID
	// changes nothing a second time.
	Operator    string
	OperationID string
	// InForce is the highest version in force at the daemons, 0 if none is known.
	InForce uint64
	// Now is the time written into the root.
	Now time.Time
}

// Accepted is the result of a proposal.
type Accepted struct {
	// Ref is the accepted configuration, or the present one when nothing had to change.
	Ref     Ref
	Cluster *Cluster
	Encoded *Encoded
	Changes []Change
	// Repeated is true when an earlier attempt with the same operation id had been accepted already.
	Repeated bool
	// Unchanged is true when the configuration already was as asked.
	Unchanged bool
}

// draft is a checked change that has not been stored.
type draft struct {
	proposal Proposal
	base     *Stored
	Accepted
}

// Preview checks a proposal without storing it.
func (r *Repository) Preview(ctx context.Context, p Proposal) (*Accepted, error) {
	d, err := r.prepare(ctx, p)
	if err != nil {
		return nil, err
	}
	return &d.Accepted, nil
}

// Propose makes a change: it stores the new chunks, then replaces the root if it is still the one of the base.
//
// Errors: *InvalidError, *ConflictError, *BehindError and *UnavailableError mean that nothing has changed;
// *UnknownError means that the change may be accepted.
func (r *Repository) Propose(ctx context.Context, p Proposal) (*Accepted, error) {
	d, err := r.prepare(ctx, p)
	if err != nil {
		return nil, err
	}
	if d.Repeated || d.Unchanged {
		return &d.Accepted, nil
	}
	created, err := r.putChunks(ctx, d.Encoded, d.base.Encoded)
	if err != nil {
		return nil, err
	}
	if err := r.keepHistory(ctx, d.base.Encoded); err != nil {
		return nil, err
	}
	if err := r.pruneHistory(ctx); err != nil {
		return nil, err
	}
	if err := r.replaceRoot(ctx, d); err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			r.dropChunks(ctx, created)
		}
		return nil, err
	}
	return &d.Accepted, nil
}

func (r *Repository) prepare(ctx context.Context, p Proposal) (*draft, error) {
	if err := checkProposal(p); err != nil {
		return nil, err
	}
	base, err := r.Load(ctx)
	if err != nil {
		return nil, err
	}
	d := &draft{proposal: p, base: base}
	if done, err := r.findOperation(ctx, p.OperationID); err != nil || done != nil {
		return d, r.repeated(ctx, d, done, err)
	}
	if base.Version() < p.InForce {
		return nil, &BehindError{Stored: base.Version(), InForce: p.InForce}
	}
	if base.Version() != p.Base {
		return nil, r.conflict(ctx, d, base)
	}
	return d, d.build()
}

func checkProposal(p Proposal) error {
	if p.OperationID == "" || len(p.OperationID) > maxOperationIDBytes {
		return errors.Errorf("operation id must have 1 to %d bytes", maxOperationIDBytes)
	}
	if p.Operator == "" || len(p.Operator) > maxOperatorBytes {
		return errors.Errorf("operator must have 1 to %d bytes", maxOperatorBytes)
	}
	return nil
}

// repeated fills d with the configuration that an earlier attempt made.
func (r *Repository) repeated(ctx context.Context, d *draft, done *StoredRoot, err error) error {
	if err != nil {
		return err
	}
	enc, err := r.complete(ctx, done.Bytes)
	if err != nil {
		return err
	}
	d.Cluster, err = NewDecoder().Decode(enc)
	if err != nil {
		return err
	}
	d.Encoded = enc
	d.Ref = enc.Ref()
	d.Repeated = true
	return nil
}

// Contains reports whether the present configuration or one of the replaced ones that are kept was made by the
// operation.
func (r *Repository) Contains(ctx context.Context, operationID string) (bool, error) {
	done, err := r.findOperation(ctx, operationID)
	return done != nil, err
}

// findOperation returns the root that the operation made, or nil.
func (r *Repository) findOperation(ctx context.Context, id string) (*StoredRoot, error) {
	roots, err := r.History(ctx)
	if err != nil {
		return nil, err
	}
	for i := range roots {
		if roots[i].Root.OperationID == id {
			return &roots[i], nil
		}
	}
	return nil, nil
}

// build applies the change to a copy of the base and checks and encodes the result.
func (d *draft) build() error {
	old := &Cluster{}
	if d.base.Cluster != nil {
		old = d.base.Cluster
	}
	next := old.Clone()
	if err := d.proposal.Mutate(next); err != nil {
		return err
	}
	next.Normalize()
	next.Version = max(d.base.Version(), d.proposal.InForce) + 1
	next.OperationID = d.proposal.OperationID
	if problems := append(Check(next), CheckChange(old, next)...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	d.Changes = Diff(old, next)
	if len(d.Changes) == 0 && d.base.Cluster != nil {
		d.Unchanged = true
		d.Cluster, d.Encoded, d.Ref = old, d.base.Encoded, d.base.Encoded.Ref()
		return nil
	}
	about := Root{Operator: d.proposal.Operator, UnixMS: d.proposal.Now.UnixMilli()}
	about.summarize(d.Changes)
	enc, err := Encode(next, about)
	if err != nil {
		return err
	}
	d.Cluster, d.Encoded, d.Ref = next, enc, enc.Ref()
	return nil
}

// replaceRoot swaps the root. It repeats the swap after a lost answer, because only a definite answer rules out that
// an earlier request, still on its way, takes effect later.
func (r *Repository) replaceRoot(ctx context.Context, d *draft) error {
	for attempt := 1; ; attempt++ {
		err := withTimeout(ctx, func(ctx context.Context) error {
			_, err := r.store.CompareAndSwap(ctx, rootKey, d.base.revision, d.Encoded.Bytes, 0)
			return err
		})
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return r.readBack(ctx, d, attempt > 1)
		}
		if definite(err) {
			return &UnavailableError{Step: "replace root", Err: err}
		}
		if !backoff(ctx, attempt) {
			return d.unknown(err)
		}
	}
}

func (d *draft) unknown(err error) error {
	return &UnknownError{OperationID: d.proposal.OperationID, Version: d.Ref.Version, Err: err}
}

// readBack decides after a failed swap whether an earlier attempt of this operation had replaced the root.
func (r *Repository) readBack(ctx context.Context, d *draft, uncertain bool) error {
	done, err := r.findOperation(ctx, d.proposal.OperationID)
	if err != nil && uncertain {
		return d.unknown(err)
	}
	if done != nil {
		return nil
	}
	current, err := r.Load(ctx)
	if err != nil {
		return &ConflictError{Base: d.proposal.Base}
	}
	return r.conflict(ctx, d, current)
}

// conflict describes how the present configuration differs from the base of the proposal.
func (r *Repository) conflict(ctx context.Context, d *draft, current *Stored) error {
	out := &ConflictError{Base: d.proposal.Base}
	if current.Cluster == nil {
		return out
	}
	out.Current = current.Encoded.Root
	base := &Cluster{}
	if d.proposal.Base != 0 {
		var err error
		if base, err = r.LoadVersion(ctx, d.proposal.Base); err != nil {
			return out
		}
	}
	out.Changes = Diff(base, current.Cluster)
	wanted := base.Clone()
	if d.proposal.Mutate(wanted) == nil {
		wanted.Normalize()
		out.Overlap = overlap(Diff(base, wanted), out.Changes)
	}
	return out
}

// overlap lists the objects that both lists of changes touch.
func overlap(a, b []Change) []string {
	var out []string
	for _, x := range a {
		for _, y := range b {
			if x.Kind == y.Kind && x.Name == y.Name {
				out = append(out, Change{Kind: x.Kind, Name: x.Name, Text: x.Text}.String())
				break
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
