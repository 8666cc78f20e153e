package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Guarantee names what a checker judges: G1 to G14 of the design page, or "age" for reads with a stated age
// (section 5).
type Guarantee string

// Guarantees that histories can show to be broken. G14 needs the instances' own versions and is not among them.
const (
	G1  Guarantee = "G1"
	G2  Guarantee = "G2"
	G3  Guarantee = "G3"
	G4  Guarantee = "G4"
	G5  Guarantee = "G5"
	G6  Guarantee = "G6"
	G7  Guarantee = "G7"
	G8  Guarantee = "G8"
	G9  Guarantee = "G9"
	G10 Guarantee = "G10"
	G11 Guarantee = "G11"
	G12 Guarantee = "G12"
	G13 Guarantee = "G13"
	Age Guarantee = "age"
)

// Status is the verdict of a checker.
type Status string

// Verdicts. StatusUndecided means that some of the cases lacked the evidence that the checker needs; it is no pass.
const (
	StatusHeld      Status = "held"
	StatusViolated  Status = "violated"
	StatusUndecided Status = "undecided"
	// StatusNoCases means that the run contained nothing to judge.
	StatusNoCases Status = "no cases"
)

// maxListed bounds the violations that a result lists; all are counted.
const maxListed = 20

// Violation is one breach with what is needed to find it in the logs.
type Violation struct {
	At         time.Time        `json:"at"`
	Customer   string           `json:"customer,omitempty"`
	Group      upstream.GroupID `json:"group,omitempty"`
	Statements []string         `json:"statements,omitempty"`
	Detail     string           `json:"detail"`
}

// Result is what one checker found.
type Result struct {
	Guarantee Guarantee `json:"guarantee"`
	Checker   string    `json:"checker"`
	Status    Status    `json:"status"`
	// Cases counts what was judged, Undecided what could not be.
	Cases     int `json:"cases"`
	Undecided int `json:"undecided"`
	// Broken counts the violations, of which the first maxListed are listed.
	Broken     int         `json:"broken"`
	Violations []Violation `json:"violations,omitempty"`
}

// violate records a violation that involves the operations.
func (r *Result) violate(at time.Time, ops []*Operation, format string, args ...any) {
	r.Broken++
	if len(r.Violations) == maxListed {
		return
	}
	v := Violation{At: at, Detail: fmt.Sprintf(format, args...)}
	for _, op := range ops {
		v.Customer = op.Customer
		v.Group = op.Group
		v.Statements = append(v.Statements, op.Statement.String())
	}
	r.Violations = append(r.Violations, v)
}

func (r *Result) conclude() {
	switch {
	case r.Broken > 0:
		r.Status = StatusViolated
	case r.Undecided > 0:
		r.Status = StatusUndecided
	case r.Cases == 0:
		r.Status = StatusNoCases
	default:
		r.Status = StatusHeld
	}
}

// Report is the verdict on one run.
type Report []Result

// Violated reports whether any guarantee was broken.
func (r Report) Violated() bool {
	return slices.ContainsFunc(r, func(x Result) bool { return x.Status == StatusViolated })
}

// Find returns the result of the named checker.
func (r Report) Find(checker string) (Result, bool) {
	i := slices.IndexFunc(r, func(x Result) bool { return x.Checker == checker })
	if i < 0 {
		return Result{}, false
	}
	return r[i], true
}

// checker judges one guarantee.
type checker struct {
	guarantee Guarantee
	name      string
	run       func(*index, *Result)
}

// checkers lists all checkers in the order of the report.
var checkers = []checker{
	{G1, "stale own read", checkOwnReads},
	{Age, "read older than its stated age", checkReadAge},
	{G2, "lost acknowledged write", checkLostWrites},
	{G2, "acknowledgement by a replaced primary", checkReplacedPrimary},
	{G2, "row linearizability", checkRegisters},
	{G3, "mixed transactions", checkMixing},
	{G4, "statement run for another customer", checkCustomers},
	{G5, "key seen by an upstream", checkSecrets},
	{G6, "withdrawn key accepted", checkWithdrawnKeys},
	{G7, "rate and burst", checkRates},
	{G8, "work in a failure domain taken out", checkDomains},
	{G9, "answer to another request", checkAnswers},
	{G10, "false not run", checkRefusals},
	{G11, "doubled write", checkDoubled},
	{G12, "work on a leaving member", checkMembers},
	{G13, "error during a planned operation", checkPlanned},
}

// Run judges the input with all checkers.
func Run(in *Input) Report {
	x := newIndex(in)
	report := make(Report, 0, len(checkers))
	for _, c := range checkers {
		r := Result{Guarantee: c.guarantee, Checker: c.name}
		c.run(x, &r)
		r.conclude()
		report = append(report, r)
	}
	return report
}
