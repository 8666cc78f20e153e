package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/check"
)

// customers returns how each customer fared, by name. Requests with a withdrawn key are left out.
func customers(in *Input, requests []*check.Request) []Customer {
	byName := make(map[string][]*check.Request)
	for _, q := range requests {
		if !in.History.KeyWithdrawn(q) {
			byName[q.Customer] = append(byName[q.Customer], q)
		}
	}
	list := make([]Customer, 0, len(byName))
	for name, own := range byName {
		list = append(list, customer(in, name, own))
	}
	slices.SortFunc(list, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func customer(in *Input, name string, requests []*check.Request) Customer {
	c := Customer{Name: name}
	h := newHistogram()
	offered, good := 0, 0
	for _, q := range requests {
		c.Requests.add(q.Outcome)
		offered += q.Statements
		if q.Outcome == check.OutcomeOK {
			good += q.Statements
		}
		if q.Entitled {
			c.Entitled++
			record(h, in.servedLatency(q))
		}
	}
	seconds := (in.Duration - in.Warmup).Seconds()
	c.OfferedRate = float64(offered) / seconds
	c.Goodput = float64(good) / seconds
	c.AllowedRate = min(c.OfferedRate, in.contractTokens(name)/seconds)
	if c.AllowedRate > 0 {
		c.GoodputRatio = c.Goodput / c.AllowedRate
	}
	c.P50, c.P99 = percentile(h, 50), percentile(h, 99)
	return c
}

// contractTokens returns the statements that the customer's contracts refill between warm-up and end. The burst is left
// out, because a customer above its rate has spent it during the warm-up.
func (in *Input) contractTokens(name string) float64 {
	tokens, rate := 0.0, 0.0
	at := in.Warmup
	for _, c := range in.Contracts {
		if c.Customer != name {
			continue
		}
		if c.At > at {
			tokens += rate * (min(c.At, in.Duration) - at).Seconds()
			at = min(c.At, in.Duration)
		}
		rate = c.Rate
	}
	return tokens + rate*(in.Duration-at).Seconds()
}

// worst compares the worst-served customer with the median one. Customers with few entitled requests, such as one that
// is far above its rate, are left out of the percentiles but not of the goodput.
func worst(list []Customer) Worst {
	var w Worst
	var p99s []time.Duration
	var ratios []float64
	for _, c := range list {
		ratios = append(ratios, c.GoodputRatio)
		if w.GoodputCustomer == "" || c.GoodputRatio < w.GoodputRatio {
			w.GoodputCustomer, w.GoodputRatio = c.Name, c.GoodputRatio
		}
		if c.Entitled < minEntitled {
			continue
		}
		p99s = append(p99s, c.P99)
		if c.P99 > w.P99 {
			w.P99Customer, w.P99 = c.Name, c.P99
		}
	}
	w.MedianGoodputRatio = median(ratios)
	w.MedianP99 = median(p99s)
	if w.MedianP99 > 0 {
		w.P99Ratio = float64(w.P99) / float64(w.MedianP99)
	}
	return w
}

// median returns the middle value, or the mean of the two middle ones; 0 for an empty list.
func median[T ~int64 | ~float64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}
