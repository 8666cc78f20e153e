package load

import (
	"fmt"
	"maps"
	"slices"

	"github.com/celerystep/celerystep/internal/check"
)

// Tables of the two deployments. All have the columns id, version and writer, so that each row counts its writes and
// names the last one.
const (
	tableOrders        = "orders"
	tableCommitments   = "commitments"
	tableMeters        = "meters"
	tableSettlements   = "settlements"
	tableAppointments  = "appointments"
	tableFixtures      = "fixtures"
	tableConfirmations = "confirmations"
)

// minRows is the number of different rows that one request may use.
const minRows = 2

// step is one statement of a request on the first (0) or second (1) of its rows.
type step struct {
	kind  check.Kind
	table string
	row   int
}

// work is a kind of request with its weight in a mix.
type work struct {
	class  string
	weight int
	// transaction wraps the steps in BEGIN and COMMIT, readOnly in BEGIN READ ONLY and COMMIT.
	transaction bool
	readOnly    bool
	// own makes the reads look at the row that the session wrote last, if it wrote any, so that a stale own read shows.
	own   bool
	steps []step
}

// cost returns the number of statements that count against the customer's rate.
func (w *work) cost() int {
	if w.transaction {
		return len(w.steps) + 2
	}
	return len(w.steps)
}

// writes reports whether the work changes rows.
func (w *work) writes() bool {
	return slices.ContainsFunc(w.steps, func(s step) bool { return s.kind.IsWrite() })
}

// mix is a weighted set of kinds of request.
type mix []work

func single(class string, weight int, kind check.Kind, table string) work {
	return work{class: class, weight: weight, steps: []step{{kind, table, 0}}}
}

// lookUp reads what the session wrote last.
func lookUp(weight int, table string) work {
	w := single("look up", weight, check.KindRead, table)
	w.own = true
	return w
}

// mixes holds the work of both deployments (design page, section 1).
var mixes = map[string]mix{
	// Kestrel: curtailment orders and commitments in small write transactions.
	"dispatch": {
		single("order", 35, check.KindInsert, tableOrders),
		single("confirm", 30, check.KindUpdate, tableCommitments),
		{class: "order and commit", weight: 15, transaction: true, steps: []step{
			{check.KindInsert, tableOrders, 0},
			{check.KindUpdate, tableCommitments, 0},
		}},
		lookUp(20, tableCommitments),
	},
	// Kestrel: live meter dashboards.
	"dashboard": {
		single("meter", 85, check.KindRead, tableMeters),
		single("panel", 15, check.KindScan, tableMeters),
	},
	// Kestrel: meter values that arrive.
	"meter feed": {single("value", 1, check.KindUpdate, tableMeters)},
	// Kestrel: settlement jobs with longer transactions and scans.
	"settlement": {
		{class: "settle", weight: 50, transaction: true, steps: []step{
			{check.KindScan, tableSettlements, 0},
			{check.KindRead, tableSettlements, 0},
			{check.KindUpdate, tableSettlements, 0},
			{check.KindUpdate, tableSettlements, 1},
		}},
		{class: "statement", weight: 20, transaction: true, readOnly: true, steps: []step{
			{check.KindScan, tableSettlements, 0},
			{check.KindScan, tableSettlements, 1},
		}},
		single("scan", 30, check.KindScan, tableSettlements),
	},
	// Swan Whistle: officers lock in and swap officials.
	"appointments": {
		{class: "swap", weight: 45, transaction: true, steps: []step{
			{check.KindRead, tableAppointments, 0},
			{check.KindRead, tableAppointments, 1},
			{check.KindUpdate, tableAppointments, 0},
			{check.KindUpdate, tableAppointments, 1},
		}},
		single("lock in", 30, check.KindUpdate, tableAppointments),
		lookUp(25, tableAppointments),
	},
	// Swan Whistle: referees read fixtures.
	"fixtures": {
		single("fixture", 85, check.KindRead, tableFixtures),
		single("round", 15, check.KindScan, tableFixtures),
	},
	// Swan Whistle: fixtures are moved to another time or ground.
	"fixture edits": {single("move", 1, check.KindUpdate, tableFixtures)},
	// Swan Whistle: club secretaries confirm and look at what they confirmed.
	"confirmations": {
		single("confirm", 50, check.KindUpdate, tableConfirmations),
		lookUp(50, tableConfirmations),
	},
}

// Mixes returns the names of the mixes.
func Mixes() []string { return slices.Sorted(maps.Keys(mixes)) }

// total returns the sum of the weights.
func (m mix) total() int {
	n := 0
	for _, w := range m {
		n += w.weight
	}
	return n
}

// pick returns the work at a point of the cumulated weights, 0 <= point < total.
func (m mix) pick(point int) *work {
	for i := range m {
		if point < m[i].weight {
			return &m[i]
		}
		point -= m[i].weight
	}
	return &m[len(m)-1]
}

// tables returns the tables whose rows must exist before the run.
func (m mix) tables() []string {
	set := make(map[string]bool)
	for _, w := range m {
		for _, s := range w.steps {
			if s.kind != check.KindInsert {
				set[s.table] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// rowID names a customer's row. The digits keep rows in the order of their numbers.
func rowID(customer string, n int) string { return fmt.Sprintf("%s/%06d", customer, n) }
