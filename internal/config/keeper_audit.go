package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/instance"
)

// changeRecorders is the number of instances that record an operator's change in the trail. Two, because one may die
// with its record; not all, because every instance of the fleet sees every change.
const changeRecorders = 2

// recordsChanges reports whether this instance is one of those that record operators' changes.
func (k *Keeper) recordsChanges() bool {
	ids := make([]instance.ID, 0)
	for _, i := range k.o.Membership.Live() {
		ids = append(ids, i.ID)
	}
	slices.SortFunc(ids, func(a, b instance.ID) int {
		return cmp.Or(cmp.Compare(recorderWeight(b), recorderWeight(a)), cmp.Compare(a, b))
	})
	return slices.Contains(ids[:min(len(ids), changeRecorders)], k.o.Self)
}

func recorderWeight(id instance.ID) uint64 { return xxhash.Sum64String("recorder\x00" + string(id)) }

// recordInstall records that a version came into force here and, on the recorders, what the operator changed.
func (k *Keeper) recordInstall(before *Snapshot, l *loadedConfig) {
	root := &l.encoded.Root
	k.o.Audit.Record(audit.Record{
		Kind:     audit.KindConfigInForce,
		Version:  root.Version,
		Operator: root.Operator,
		Local:    true,
		Inputs: []audit.Input{
			{Key: "root", Value: l.encoded.Hash.Short()},
			{Key: "operation", Value: root.OperationID},
		},
	})
	if before == nil || !k.recordsChanges() {
		return
	}
	for i, c := range Diff(before.Cluster(), l.cluster) {
		if i == maxSummaryLines {
			break
		}
		r := changeRecord(c)
		r.Event = fmt.Sprintf("config/%d/%s/%d", root.Version, l.encoded.Hash.Short(), i)
		r.Version = root.Version
		r.Operator = root.Operator
		k.o.Audit.Record(r)
	}
}

// changeRecord describes one change of the configuration.
func changeRecord(c Change) audit.Record {
	r := audit.Record{Kind: audit.KindConfigChanged}
	if c.Kind == "customer" {
		r.Customer = c.Name
	}
	switch c.Type {
	case ChangePreset:
		r.Kind = audit.KindPresetChanged
		r.Inputs = []audit.Input{{Key: "from", Value: string(c.From)}, {Key: "to", Value: string(c.To)}}
	case ChangeDomainOut, ChangeDomainIn:
		r.Kind = audit.KindDomainOut
		if c.Type == ChangeDomainIn {
			r.Kind = audit.KindDomainIn
		}
		r.Inputs = []audit.Input{{Key: "failure_domain", Value: c.Name}}
	case ChangeKeyWithdrawn:
		r.Kind = audit.KindKeyWithdrawn
		r.Inputs = []audit.Input{{Key: "key", Value: c.Key}}
	default:
		r.Inputs = []audit.Input{{Key: "change", Value: c.String()}}
	}
	return r
}

// record adds a record about a configuration with one input.
func (k *Keeper) record(kind audit.Kind, ref Ref, key, value string) {
	k.o.Audit.Record(audit.Record{Kind: kind, Version: ref.Version, Inputs: []audit.Input{{Key: key, Value: value}}})
}

func (k *Keeper) recordRejected(ref Ref, err error) {
	k.record(audit.KindConfigRejected, ref, "problem", err.Error())
}

// reportStore records that the store or a peer holds another configuration than expected.
func (k *Keeper) reportStore(a action) {
	k.o.Log.Warn("other configuration found", "in_force", a.ref.Version, "root", a.ref.Root.Short(), "found",
		a.other.Version, "found_root", a.other.Root.Short())
	if a.kind == actionReportBehind {
		k.record(audit.KindConfigBehind, a.ref, "stored_version", versionText(a.other))
		return
	}
	k.o.Audit.Record(audit.Record{
		Kind:    audit.KindConfigFork,
		Version: a.ref.Version,
		Inputs: []audit.Input{
			{Key: "root", Value: a.ref.Root.Short()},
			{Key: "other_root", Value: a.other.Root.Short()},
		},
	})
}

func versionText(r Ref) string { return strconv.FormatUint(r.Version, 10) }
