package check

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// versionFloor is a version that a read must at least return, and the write that set it.
type versionFloor struct {
	version int64
	op      *Operation
}

// checkOwnReads finds reads that miss a write which the same session had acknowledged before, on any connection.
// Versions of a row only grow, so a lower version than the own one proves that the own write was not seen.
func checkOwnReads(x *index, r *Result) {
	acknowledged := make(map[*Operation]*effect, len(x.effects))
	for i := range x.effects {
		e := &x.effects[i]
		if e.state == effectAcknowledged && e.version() > 0 {
			acknowledged[e.op] = e
		}
	}
	sessions := operationsBySession(x.in.Operations)
	for _, id := range slices.Sorted(maps.Keys(sessions)) {
		checkSessionReads(sessions[id], acknowledged, r)
	}
}

// checkSessionReads judges the operations of one session in order of invocation.
func checkSessionReads(ops []*Operation, acknowledged map[*Operation]*effect, r *Result) {
	floors := make(map[groupRow]versionFloor)
	var pending []*effect
	for _, op := range ops {
		pending = raiseFloors(floors, pending, op.Invoke)
		if e := acknowledged[op]; e != nil {
			pending = append(pending, e)
		}
		if op.Kind.IsRead() && op.Outcome == OutcomeOK {
			checkOwnRead(op, floors, r)
		}
	}
}

// raiseFloors applies the writes acknowledged before the moment and returns the others.
func raiseFloors(floors map[groupRow]versionFloor, pending []*effect, at time.Time) []*effect {
	return slices.DeleteFunc(pending, func(e *effect) bool {
		if e.acknowledged.After(at) {
			return false
		}
		k := groupRow{e.op.Group, e.op.Row}
		if e.version() > floors[k].version {
			floors[k] = versionFloor{e.version(), e.op}
		}
		return true
	})
}

func checkOwnRead(op *Operation, floors map[groupRow]versionFloor, r *Result) {
	for _, v := range op.readValues() {
		f, ok := floors[groupRow{op.Group, v.Row}]
		if !ok {
			continue
		}
		r.Cases++
		if v.Version < f.version {
			r.violate(op.Invoke, []*Operation{f.op, op}, "row %s: read version %d after own version %d",
				v.Row.ID, v.Version, f.version)
		}
	}
}

// readValues returns the rows that a read returned. A KindRead that found no row yields the absent row.
func (op *Operation) readValues() []Value {
	if op.Kind == KindRead && len(op.Values) == 0 {
		return []Value{{Row: op.Row}}
	}
	return op.Values
}

// operationsBySession returns each session's operations in order of invocation.
func operationsBySession(ops []Operation) map[SessionID][]*Operation {
	sessions := make(map[SessionID][]*Operation)
	for i := range ops {
		op := &ops[i]
		sessions[op.Session] = append(sessions[op.Session], op)
	}
	for _, list := range sessions {
		slices.SortStableFunc(list, func(a, b *Operation) int { return a.Invoke.Compare(b.Invoke) })
	}
	return sessions
}

// rowVersions lists a row's acknowledged versions in order of acknowledgement, each with the highest version so far.
type rowVersions []rowVersion

type rowVersion struct {
	at      time.Time
	highest versionFloor
}

// before returns the highest version acknowledged at or before the moment.
func (v rowVersions) before(at time.Time) versionFloor {
	i, _ := slices.BinarySearchFunc(v, at, func(e rowVersion, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	if i == 0 {
		return versionFloor{}
	}
	return v[i-1].highest
}

// checkReadAge finds reads with a stated age that miss a write which anybody had acknowledged longer ago than that
// age when the read was sent. The read ran after it was sent, so its data may not be older than that.
func checkReadAge(x *index, r *Result) {
	versions := acknowledgedVersions(x.effects)
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		if !op.Kind.IsRead() || op.Outcome != OutcomeOK || op.MaxAge == 0 {
			continue
		}
		for _, v := range op.readValues() {
			f := versions[groupRow{op.Group, v.Row}].before(op.Invoke.Add(-op.MaxAge))
			if f.op == nil {
				continue
			}
			r.Cases++
			if v.Version < f.version {
				r.violate(op.Invoke, []*Operation{f.op, op}, "row %s: read version %d, version %d was older than %s",
					v.Row.ID, v.Version, f.version, op.MaxAge)
			}
		}
	}
}

func acknowledgedVersions(effects []effect) map[groupRow]rowVersions {
	versions := make(map[groupRow]rowVersions)
	for i := range effects {
		e := &effects[i]
		if e.state != effectAcknowledged || e.version() == 0 {
			continue
		}
		k := groupRow{e.op.Group, e.op.Row}
		versions[k] = append(versions[k], rowVersion{e.acknowledged, versionFloor{e.version(), e.op}})
	}
	for _, list := range versions {
		slices.SortStableFunc(list, func(a, b rowVersion) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.highest.version, b.highest.version))
		})
		for i := 1; i < len(list); i++ {
			if list[i].highest.version < list[i-1].highest.version {
				list[i].highest = list[i-1].highest
			}
		}
	}
	return versions
}
