package load

import (
	"math"
	"time"
)

// configurationSpread is how long a change of contract may take to be in force everywhere (G14).
const configurationSpread = 4 * time.Second

// ContractChange sets a customer's contract from an offset of the run on.
type ContractChange struct {
	Customer string
	At       time.Duration
	// Rate is in statements a second.
	Rate  float64
	Burst int
}

// reference is a token bucket that tells which requests of a customer are within its contract. A request without
// tokens waits for them, in its session or in the fleet, and so takes tokens of later ones. A request that would wait
// for longer than the caller's timeout is given up and takes none.
type reference struct {
	changes  []ContractChange
	patience time.Duration
	level    float64
	at       time.Duration
}

// newReference returns a full bucket under the customer's changes, which are in order of time.
func newReference(changes []ContractChange, patience time.Duration) *reference {
	r := &reference{changes: changes, patience: patience}
	_, r.level = r.inForce(0)
	return r
}

// inForce returns the lowest rate and burst that an instance may apply at the offset, while a change spreads.
func (r *reference) inForce(at time.Duration) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	for i, c := range r.changes {
		replaced := i+1 < len(r.changes) && r.changes[i+1].At+configurationSpread <= at
		if replaced || c.At > at {
			continue
		}
		rate = min(rate, c.Rate)
		burst = min(burst, float64(c.Burst))
	}
	return rate, burst
}

// take counts a request of that many statements and reports whether it was within the contract: whether all its
// tokens were there when it arrived.
func (r *reference) take(at time.Duration, statements int) bool {
	rate, burst := r.inForce(at)
	r.level = min(r.level+rate*(at-r.at).Seconds(), burst)
	r.at = at
	left := r.level - float64(statements)
	if left < -rate*r.patience.Seconds() {
		return false
	}
	r.level = left
	return left >= 0
}
