package matrix

import (
	"sync"
)

// injector counts the occurrences of points and fires each injection once, at its n-th occurrence.
type injector struct {
	// surroundings carries out the faults that are not local.
	surroundings surroundings

	mu    sync.Mutex
	armed bool
	plan  []*planned
}

// planned is an injection with the number of occurrences of its point that pass before it fires.
type planned struct {
	Injection
	skip  int
	fired bool
}

// surroundings carries out the faults that do not concern one connection only. Calls do not block on the homes.
type surroundings interface {
	disturb(f Fault, at *homeInstance)
}

// arm starts counting.
func (in *injector) arm() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.armed = true
}

// disarm stops all injections.
func (in *injector) disarm() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.armed = false
}

// unfired lists the injections whose point was not reached.
func (in *injector) unfired() []Injection {
	in.mu.Lock()
	defer in.mu.Unlock()
	var list []Injection
	for _, p := range in.plan {
		if !p.fired {
			list = append(list, p.Injection)
		}
	}
	return list
}

// next returns the injection due at the point, if any.
func (in *injector) next(p Point) (Fault, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.armed {
		return "", false
	}
	for _, x := range in.plan {
		if x.fired || x.Point != p {
			continue
		}
		if x.skip > 0 {
			x.skip--
			continue
		}
		x.fired = true
		return x.Fault, true
	}
	return "", false
}

// at passes the point. Faults of the surroundings are carried out; a local fault is returned for the caller to apply.
func (in *injector) at(step Step, m Moment, h *homeInstance) Fault {
	f, ok := in.next(Point{step, m})
	if !ok {
		return ""
	}
	if f.local() {
		return f
	}
	in.surroundings.disturb(f, h)
	return ""
}

// gate holds the goroutines of a paused home.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// pass blocks while the gate is shut.
func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}
