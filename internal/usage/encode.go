package usage

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/instance"
)

// EncodeState returns the stored form of a state.
func EncodeState(s State) ([]byte, error) {
	names := make(map[string]uint32)
	m := &fleetv1.UsageLedger{
		Instance: string(s.Holder.Instance), Process: s.Holder.Process,
		FixedThrough: uint64(s.FixedThrough), Fixed: ToWindows(s.Fixed),
	}
	index := func(customer string) uint32 {
		i, ok := names[customer]
		if !ok {
			i = uint32(len(names))
			names[customer] = i
			m.Customers = append(m.Customers, customer)
		}
		return i
	}
	for _, source := range s.Sources {
		encoded := &fleetv1.UsageSource{
			Instance: string(source.Source.Instance), Process: source.Source.Process, ThroughMs: unixMilli(source.Through),
		}
		for _, w := range source.Windows {
			list := &fleetv1.UsageSourceWindow{Id: uint64(w.ID)}
			for customer, n := range w.Counts {
				list.Customers = append(list.Customers, index(customer))
				list.Operations = append(list.Operations, n)
			}
			encoded.Windows = append(encoded.Windows, list)
		}
		m.Sources = append(m.Sources, encoded)
	}
	return proto.Marshal(m)
}

// DecodeState parses the stored form of a state.
func DecodeState(b []byte) (State, error) {
	m := &fleetv1.UsageLedger{}
	if err := proto.Unmarshal(b, m); err != nil {
		return State{}, errors.Wrap(err, "decode the stored usage")
	}
	s := State{Holder: Source{instance.ID(m.GetInstance()), m.GetProcess()}}
	s.FixedThrough, s.Fixed = WindowID(m.GetFixedThrough()), FromWindows(m.GetFixed())
	for _, encoded := range m.GetSources() {
		source := SourceCounts{Source: Source{instance.ID(encoded.GetInstance()), encoded.GetProcess()}, Through: fromUnixMilli(encoded.GetThroughMs())}
		for _, list := range encoded.GetWindows() {
			w, err := decodeWindow(list, m.GetCustomers())
			if err != nil {
				return State{}, err
			}
			source.Windows = append(source.Windows, w)
		}
		s.Sources = append(s.Sources, source)
	}
	return s, nil
}

func decodeWindow(list *fleetv1.UsageSourceWindow, customers []string) (Window, error) {
	w := Window{WindowID(list.GetId()), make(Counts, len(list.GetCustomers()))}
	if len(list.GetCustomers()) != len(list.GetOperations()) {
		return w, errors.Errorf("decode the stored usage: window %d has %d customers and %d counts", w.ID, len(list.GetCustomers()), len(list.GetOperations()))
	}
	for i, c := range list.GetCustomers() {
		if int(c) >= len(customers) {
			return w, errors.Errorf("decode the stored usage: window %d refers to customer %d of %d", w.ID, c, len(customers))
		}
		w.Counts[customers[c]] = list.GetOperations()[i]
	}
	return w, nil
}

// ToWindows returns the message form of windows.
func ToWindows(list []Window) []*fleetv1.UsageWindow {
	out := make([]*fleetv1.UsageWindow, len(list))
	for i, w := range list {
		out[i] = &fleetv1.UsageWindow{Id: uint64(w.ID)}
		for customer, n := range w.Counts {
			out[i].Counts = append(out[i].Counts, &fleetv1.UsageCount{Customer: customer, Operations: n})
		}
	}
	return out
}

// FromWindows parses the message form of windows.
func FromWindows(list []*fleetv1.UsageWindow) []Window {
	out := make([]Window, len(list))
	for i, w := range list {
		out[i] = Window{WindowID(w.GetId()), make(Counts, len(w.GetCounts()))}
		for _, c := range w.GetCounts() {
			out[i].Counts[c.GetCustomer()] = c.GetOperations()
		}
	}
	return out
}

// unixMilli returns 0 for the zero time, whose number of milliseconds is negative.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
