package check

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naiveExceeds tries every window that starts at a sending and ends at a start of a statement.
func naiveExceeds(admissions []admission, steps allowance) bool {
	for _, first := range admissions {
		for _, last := range admissions {
			count := 0
			for _, a := range admissions {
				if !a.sent.Before(first.sent) && !a.started.After(last.started) {
					count++
				}
			}
			allowed := steps.at(first.sent).burst + steps.refilled(last.started) - steps.refilled(first.sent)
			if count > 0 && float64(count) > allowed+rateSlack {
				return true
			}
		}
	}
	return false
}

// Guards against a window search that differs from trying all windows.
func TestWorstWindowAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contracts := []Contract{{From: at(0), Rate: 2, Burst: 3}}
		if rapid.Bool().Draw(t, "changed") {
			ms := rapid.IntRange(1, 4000).Draw(t, "change")
			contracts = append(contracts, Contract{From: at(ms), Rate: 5, Burst: 1})
		}
		steps := newAllowance(contracts)
		var admissions []admission
		for range rapid.IntRange(1, 25).Draw(t, "n") {
			sent := rapid.IntRange(0, 8000).Draw(t, "sent")
			wait := rapid.IntRange(0, 3000).Draw(t, "wait")
			admissions = append(admissions, admission{sent: at(sent), started: at(sent + wait), op: &Operation{}})
		}
		_, got := worstWindow(admissions, steps)
		if want := naiveExceeds(admissions, steps); got != want {
			t.Fatalf("worstWindow=%v, naive=%v for %v", got, want, admissions)
		}
	})
}

// Guards against an allowance that drops to a lower contract before it must be in force, or rises late.
func TestAllowanceKeepsTheHigherContractWhileAChangeSpreads(t *testing.T) {
	steps := newAllowance([]Contract{{From: at(0), Rate: 10, Burst: 4}, {From: at(1000), Rate: 2, Burst: 8}})
	if s := steps.at(at(3000)); s.rate != 10 || s.burst != 8 {
		t.Errorf("while the change spreads: %+v", s)
	}
	if s := steps.at(at(1000).Add(SpreadBound)); s.rate != 2 || s.burst != 8 {
		t.Errorf("after the change: %+v", s)
	}
	if got := steps.refilled(at(6000)); got != 10*5+2*1 {
		t.Errorf("refilled %v tokens", got)
	}
	if d := time.Duration(SpreadBound); d != 4*time.Second {
		t.Errorf("spread bound %s", d)
	}
}
