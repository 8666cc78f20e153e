package check

// checkLostWrites finds acknowledged writes that the final state does not contain. Each write raises the version of
// its row by one, so a final version below an acknowledged one, or one version acknowledged twice, proves a loss.
func checkLostWrites(x *index, r *Result) {
	seen := make(map[groupRow]map[int64]*Operation)
	for i := range x.effects {
		e := &x.effects[i]
		if e.state != effectAcknowledged {
			continue
		}
		if x.finals[e.op.Group] == nil || e.version() == 0 {
			r.Undecided++
			continue
		}
		r.Cases++
		k := groupRow{e.op.Group, e.op.Row}
		final := x.rows[k]
		if final.Version < e.version() {
			r.violate(e.acknowledged, []*Operation{e.op}, "row %s: acknowledged version %d, final version %d",
				e.op.Row.ID, e.version(), final.Version)
			continue
		}
		if final.Version == e.version() && final.Writer != e.op.Statement {
			r.violate(e.acknowledged, []*Operation{e.op}, "row %s: acknowledged version %d, final writer is %s",
				e.op.Row.ID, e.version(), final.Writer)
		}
		if seen[k] == nil {
			seen[k] = make(map[int64]*Operation)
		}
		if other := seen[k][e.version()]; other != nil {
			r.violate(e.acknowledged, []*Operation{other, e.op}, "row %s: version %d acknowledged twice",
				e.op.Row.ID, e.version())
		}
		seen[k][e.version()] = e.op
	}
}

// checkReplacedPrimary finds acknowledged writes whose commit position the group's final log does not contain: they
// were acknowledged by a primary that had been replaced.
func checkReplacedPrimary(x *index, r *Result) {
	for i := range x.effects {
		e := &x.effects[i]
		if e.state != effectAcknowledged {
			continue
		}
		final := x.finals[e.op.Group]
		runs := x.executions[e.op.Statement]
		if final == nil || len(runs) == 0 || !anyPosition(runs) {
			r.Undecided++
			continue
		}
		r.Cases++
		if !anyContained(final, runs) {
			r.violate(e.acknowledged, []*Operation{e.op}, "position %s on member %s is not in the final log of %s",
				runs[0].block.position, runs[0].statement.Member, final.Primary)
		}
	}
}

func anyPosition(runs []execution) bool {
	for _, run := range runs {
		if !run.block.position.IsZero() {
			return true
		}
	}
	return false
}

func anyContained(final *Final, runs []execution) bool {
	for _, run := range runs {
		p := run.block.position
		if !p.IsZero() && final.History.Contains(final.End, p) {
			return true
		}
	}
	return false
}

// checkDoubled finds writes that ran more than once: by the groups' logs, and by final versions above the number of
// writes that may have taken effect.
func checkDoubled(x *index, r *Result) {
	possible := make(map[groupRow]int64)
	last := make(map[groupRow]*Operation)
	var rows []groupRow
	for i := range x.effects {
		e := &x.effects[i]
		r.Cases++
		if n := completedRuns(x.executions[e.op.Statement]); n > 1 {
			r.violate(e.invoked, []*Operation{e.op}, "row %s: the statement ran %d times", e.op.Row.ID, n)
		}
		if e.state != effectNone {
			k := groupRow{e.op.Group, e.op.Row}
			if possible[k] == 0 {
				rows = append(rows, k)
			}
			possible[k]++
			last[k] = e.op
		}
	}
	for _, k := range rows {
		n := possible[k]
		if final := x.rows[k]; final.Version > n {
			r.violate(last[k].Return, []*Operation{last[k]}, "row %s: final version %d after at most %d writes",
				k.row.ID, final.Version, n)
		}
	}
}

func completedRuns(runs []execution) int {
	n := 0
	for _, run := range runs {
		if run.completed() {
			n++
		}
	}
	return n
}

// checkRefusals finds statements that were refused as "not run" although a member's log shows them.
func checkRefusals(x *index, r *Result) {
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		if op.Outcome != OutcomeNotRun || x.byID[op.Statement] != op {
			continue
		}
		r.Cases++
		if runs := x.executions[op.Statement]; len(runs) > 0 {
			r.violate(op.Return, []*Operation{op}, "refused with %s, run by member %s at %s",
				op.Code, runs[0].statement.Member, runs[0].statement.Start.Format(timeFormat))
		}
	}
}

// timeFormat shows times in violations down to the microsecond.
const timeFormat = "15:04:05.000000"
