package speed

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func add(m *Meter, samples ...float64) {
	for _, s := range samples {
		m.Add(s)
	}
}

func TestASlowMachineIsFoundAndForgiven(t *testing.T) {
	is := is.New(t)
	var m Meter
	is.Equal(m.Slowdown(), 1.0)
	for range minHistory {
		add(&m, 95, 103, 92, 104, 161)
	}
	is.True(!m.Slow())
	add(&m, 700, 690)
	is.True(!m.Slow()) // two late samples are no proof
	add(&m, 720)
	is.True(m.Slow())
	is.True(m.Slowdown() > 6 && m.Slowdown() < 8)
	for range 1000 {
		add(&m, 700)
	}
	is.True(m.Slow()) // however long it lasts
	add(&m, 90, 95, 92)
	is.True(!m.Slow())
}

func TestDelaysAndClockStepsCountForNothing(t *testing.T) {
	is := is.New(t)
	var m Meter
	for range 100 {
		add(&m, 100, 5000, 0, 98, 102, 0, 101, 4000, 99, 103)
		is.True(!m.Slow())
	}
}

// A few quick samples must not make the usual speed look slow.
func TestVaryingSpeedIsNotSlow(t *testing.T) {
	is := is.New(t)
	var m Meter
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 10_000 {
		v := 40 + 60*r.Float64()
		if i%500 < 8 {
			v = 25
		}
		add(&m, v)
		is.True(!m.Slow())
	}
}
