package report

import (
	"math/rand/v2"
	"slices"
)

const (
	// resamples is the number of bootstrap samples, confidence the part of them inside the interval.
	resamples  = 2000
	confidence = 0.95
	// bootstrapSeed makes the interval the same each time the same results are shown.
	bootstrapSeed = 1
)

// Spread summarises the values of a figure over the repeats.
type Spread struct {
	N      int
	Median float64
	Min    float64
	Max    float64
	// Low and High bound the bootstrap interval of the median. With few repeats it is close to Min and Max.
	Low  float64
	High float64
}

// NewSpread summarises the values, of which there must be at least one.
func NewSpread(values []float64) Spread {
	low, high := bootstrap(func(pick func([]float64) []float64) float64 { return median(pick(values)) })
	return Spread{
		N: len(values), Median: median(values), Min: slices.Min(values), Max: slices.Max(values), Low: low, High: high,
	}
}

// Ratio summarises the ratio of the medians of b over a, with its bootstrap interval. ok is false when a median is 0.
func Ratio(a, b []float64) (s Spread, ok bool) {
	base := median(a)
	if base == 0 {
		return Spread{}, false
	}
	low, high := bootstrap(func(pick func([]float64) []float64) float64 {
		below := median(pick(a))
		if below == 0 {
			below = base
		}
		return median(pick(b)) / below
	})
	ratios := make([]float64, 0, len(a))
	for i := range min(len(a), len(b)) {
		if a[i] != 0 {
			ratios = append(ratios, b[i]/a[i])
		}
	}
	s = Spread{N: len(ratios), Median: median(b) / base, Low: low, High: high}
	if len(ratios) > 0 {
		s.Min, s.Max = slices.Min(ratios), slices.Max(ratios)
	}
	return s, true
}

// bootstrap returns the percentile interval of a statistic over samples drawn with replacement.
func bootstrap(statistic func(pick func([]float64) []float64) float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(bootstrapSeed, bootstrapSeed))
	pick := func(values []float64) []float64 {
		sample := make([]float64, len(values))
		for i := range sample {
			sample[i] = values[rng.IntN(len(values))]
		}
		return sample
	}
	results := make([]float64, resamples)
	for i := range results {
		results[i] = statistic(pick)
	}
	slices.Sort(results)
	tail := int(float64(resamples) * (1 - confidence) / 2)
	return results[tail], results[resamples-1-tail]
}

// median returns the middle value, or the mean of the two middle ones.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// quantile returns the value at the nearest rank.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
