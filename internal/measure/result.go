// Package measure computes the five measures of the design page (section 1) from the histories of a run, and defines
// the result that a run leaves behind. It is pure.
package measure

import (
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Result is one run. It is written as one JSON line.
type Result struct {
	Experiment string `json:"experiment"`
	Deployment string `json:"deployment"`
	Mode       string `json:"mode"`
	// Fleet names the kind of fleet; figures of a simulated one say nothing about celerystep.
	Fleet      string         `json:"fleet"`
	Repeat     int            `json:"repeat"`
	Seed       uint64         `json:"seed"`
	Started    time.Time      `json:"started"`
	Duration   time.Duration  `json:"duration_ns"`
	SelfCheck  load.SelfCheck `json:"self_check"`
	Guarantees check.Report   `json:"guarantees"`
	Marks      []Mark         `json:"marks"`
	// Measures and Series are absent when the self-check found that the run does not count.
	Measures *Measures `json:"measures,omitempty"`
	Series   *Series   `json:"series,omitempty"`
}

// Mark is something that happened to the fleet during the run. Times count from the start of the run.
type Mark struct {
	Action  string        `json:"action"`
	Target  string        `json:"target"`
	At      time.Duration `json:"at_ns"`
	Ended   time.Duration `json:"ended_ns"`
	Planned bool          `json:"planned"`
	// Group is the group whose writes the mark may interrupt, empty for all of them.
	Group upstream.GroupID `json:"group,omitempty"`
	// Interrupts is true when writes may pause: the primary, its home or an instance is affected.
	Interrupts bool `json:"interrupts"`
	// Error says why the action was not carried out.
	Error string `json:"error,omitempty"`
}

// Measures are the figures of one run without its warm-up.
type Measures struct {
	Requests     Counts  `json:"requests"`
	Throughput   float64 `json:"throughput_per_second"`
	Reads        Latency `json:"reads"`
	Writes       Latency `json:"writes"`
	Transactions Latency `json:"transactions"`
	// Replica is the share of reads served by replicas, from the groups' logs.
	Replica ReplicaShare `json:"replica"`
	// Gaps are the longest times without an acknowledged write after each interruption.
	Gaps      []Gap      `json:"gaps,omitempty"`
	Customers []Customer `json:"customers"`
	Worst     Worst      `json:"worst"`
	Refusals  Refusals   `json:"refusals"`
	// FailedByCode counts the requests that failed or ended with an unknown outcome by SQLSTATE.
	FailedByCode map[string]int `json:"failed_by_code,omitempty"`
	// Phases are before the first mark, from the first to the last, and after the last.
	Phases []Phase `json:"phases,omitempty"`
}

// Counts sorts requests by outcome.
type Counts struct {
	Offered int `json:"offered"`
	OK      int `json:"ok"`
	// Refused requests were not run, Failed ones ended with an error or an unknown outcome.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

func (c *Counts) add(o check.Outcome) {
	c.Offered++
	switch {
	case o == check.OutcomeOK:
		c.OK++
	case refused(o):
		c.Refused++
	default:
		c.Failed++
	}
}

// refused reports whether the request was not run.
func refused(o check.Outcome) bool { return o == check.OutcomeNotRun || o == check.OutcomeNotSent }

// Latency summarises the time from the intended arrival to the end of the entitled requests that succeeded. What a
// customer sends beyond its contract waits by design and is left out.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// ReplicaShare counts the reads outside read-write transactions by who served them.
type ReplicaShare struct {
	Reads   int     `json:"reads"`
	Replica int     `json:"replica"`
	Share   float64 `json:"share"`
}

// Gap is a time without an acknowledged write in a group.
type Gap struct {
	Group  upstream.GroupID `json:"group"`
	Cause  string           `json:"cause"`
	Length time.Duration    `json:"length_ns"`
	// Steady is the longest such time in the group before the first interruption, which the arrivals alone explain.
	Steady time.Duration `json:"steady_ns"`
	// Censored is true when no write was acknowledged until the end of the load, so that the gap was longer.
	Censored bool `json:"censored"`
}

// Customer is how one customer fared.
type Customer struct {
	Name     string `json:"name"`
	Requests Counts `json:"requests"`
	Entitled int    `json:"entitled"`
	// OfferedRate, AllowedRate and Goodput are in statements a second. AllowedRate is what the contract allows of what
	// was offered.
	OfferedRate float64 `json:"offered_per_second"`
	AllowedRate float64 `json:"allowed_per_second"`
	Goodput     float64 `json:"goodput_per_second"`
	// GoodputRatio is Goodput over AllowedRate.
	GoodputRatio float64 `json:"goodput_ratio"`
	// P50 and P99 are over the entitled requests; one that did not succeed counts as the request timeout.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Worst compares the worst-served customer with the median one.
type Worst struct {
	P99Customer string        `json:"p99_customer"`
	P99         time.Duration `json:"p99_ns"`
	MedianP99   time.Duration `json:"median_p99_ns"`
	// P99Ratio is P99 over MedianP99.
	P99Ratio           float64 `json:"p99_ratio"`
	GoodputCustomer    string  `json:"goodput_customer"`
	GoodputRatio       float64 `json:"goodput_ratio"`
	MedianGoodputRatio float64 `json:"median_goodput_ratio"`
}

// Refusals counts the requests that were refused although they were within their customer's contract.
type Refusals struct {
	Entitled int     `json:"entitled"`
	Wrongful int     `json:"wrongful"`
	Share    float64 `json:"share"`
	// WithoutFault is the part of Wrongful that no unplanned fault overlapped.
	WithoutFault int            `json:"without_fault"`
	ByCode       map[string]int `json:"by_code,omitempty"`
}

// Phase is a part of the run.
type Phase struct {
	Name     string        `json:"name"`
	From     time.Duration `json:"from_ns"`
	To       time.Duration `json:"to_ns"`
	Entitled int           `json:"entitled"`
	// Errors counts the entitled requests that did not succeed.
	Errors int           `json:"errors"`
	P50    time.Duration `json:"p50_ns"`
	P99    time.Duration `json:"p99_ns"`
}

// Series is the run over time, in steps of Step from the start.
type Series struct {
	Step    time.Duration `json:"step_ns"`
	Offered []int         `json:"offered"`
	OK      []int         `json:"ok"`
	Refused []int         `json:"refused"`
	Failed  []int         `json:"failed"`
	// P50, P90 and P99 are in milliseconds, by intended arrival of the entitled requests that succeeded.
	P50 []float64 `json:"p50_ms"`
	P90 []float64 `json:"p90_ms"`
	P99 []float64 `json:"p99_ms"`
	// ReplicaShare is -1 in steps without reads.
	ReplicaShare []float64 `json:"replica_share"`
	// Refusals counts refused requests by customer.
	Refusals map[string][]int `json:"refusals"`
}

// Took returns how long the action took.
func (m Mark) Took() time.Duration { return m.Ended - m.At }
