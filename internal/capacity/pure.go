package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// virtualSeed makes the virtual traffic the same in each run.
const virtualSeed = 1

// lossLimit is the largest fleet whose loss of a failure domain is measured. It took 30 s of real time with 400
// instances and grows with the square of the number, beyond the four minutes of a whole run.
const lossLimit = 200

// gossipSlopes measures the membership machine in virtual time, steady and with one new configuration.
func gossipSlopes(ctx context.Context, s *Suite) error {
	bytes := &series{name: "gossip bytes", unit: "B/s", per: "instance", note: "virtual time, both directions"}
	calls := &series{name: "gossip calls", unit: "1/s", per: "instance", note: "virtual time, both directions"}
	cpu := &series{name: "gossip processor time", unit: "us/s", per: "instance", note: "virtual time, without encoding and sockets"}
	spread := &series{name: "spread of a configuration", unit: "ms", per: "instance", note: "virtual time, 1 ms each way"}
	heap := &series{name: "membership heap", unit: "B", per: "instance", note: "view and planner of one instance"}
	lost := &series{name: "failure domain lost: all homes known", unit: "ms", per: "instance", note: "virtual time, claims 1.5 s after the loss, 10 domains"}
	peak := &series{name: "failure domain lost: peak gossip bytes", unit: "B/s", per: "instance", note: "virtual time, mean of an instance in the worst second"}
	for _, n := range GossipSizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		s.Log.Info("gossip", "instances", n)
		f := newGossipFleet(n, virtualSeed)
		f.begin()
		if err := f.steady(); err != nil {
			return err
		}
		r := f.end("steady")
		bytes.add(n, r.BytesPerSecond)
		calls.add(n, r.CallsPerSecond)
		cpu.add(n, float64(r.CPU.Nanoseconds())/1000)
		f.begin()
		if err := f.oneConfiguration(); err != nil {
			return err
		}
		spread.add(n, float64(f.end("one configuration").Spread.Milliseconds()))
		if n <= lossLimit {
			f.begin()
			if err := f.cutDomain(); err != nil {
				return err
			}
			r = f.end("domain cut off")
			lost.add(n, float64(r.Spread.Milliseconds()))
			peak.add(n, r.PeakBytesPerSecond)
		}
		f = nil
		heap.add(n, float64(MeasureFootprint(n).HeapBytes))
	}
	return s.keep(bytes, calls, cpu, spread, lost, peak, heap)
}

// clusterOf returns a valid configuration with a route and two keys for each customer.
func clusterOf(groups, customers int) *config.Cluster {
	c := &config.Cluster{Preset: config.PresetOrdinary, Version: 1}
	for _, d := range []instance.FailureDomain{"north-a", "north-b", "north-c"} {
		c.FailureDomains = append(c.FailureDomains, config.FailureDomain{Name: d, Region: "north"})
	}
	for i := range groups {
		g := upstream.Group{ID: upstream.GroupID(fmt.Sprintf("group-%04d", i)), Slots: 3, Connections: 20}
		for j, d := range c.FailureDomains {
			g.Members = append(g.Members, upstream.Member{
				ID: upstream.MemberID(fmt.Sprintf("m%d", j+1)), FailureDomain: d.Name, State: upstream.MemberActive,
				Address: fmt.Sprintf("10.%d.%d.%d:5432", j+1, i/250, i%250+1),
			})
		}
		c.Groups = append(c.Groups, g)
	}
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		customer := config.Customer{Name: name, Contracts: map[config.Preset]config.Contract{}}
		for _, p := range config.Presets() {
			customer.Contracts[p] = config.Contract{RatePerSecond: 50, Burst: 100, Share: 1}
		}
		for k := range 2 {
			customer.Keys = append(customer.Keys, keyOf(i, k))
		}
		c.Customers = append(c.Customers, customer)
		c.Routes = append(c.Routes, config.Route{
			Database: fmt.Sprintf("database-%04d", i), Group: c.Groups[i%groups].ID, Customers: []string{name},
		})
	}
	c.Normalize()
	return c
}

// verifierBytes is the length of a SCRAM-SHA-256 verifier.
const verifierBytes = 32

// keyOf returns a key whose verifiers differ from those of other keys.
func keyOf(customer, i int) config.Key {
	random := NewNetwork(uint64(customer*2 + i)).Rand()
	fill := func(n int) []byte {
		p := make([]byte, n)
		for i := range p {
			p[i] = byte(random.Uint32())
		}
		return p
	}
	return config.Key{
		Name: fmt.Sprintf("key-%d", i+1), Iterations: 4096,
		Salt: fill(16), StoredKey: fill(verifierBytes), ServerKey: fill(verifierBytes),
	}
}

// applyRounds is the number of repeats over which the time to apply a configuration is averaged.
const applyRounds = 5

// configSlopes measures size, memory and time of a configuration against customers at 2,300 groups, and against groups
// at 8 customers.
func configSlopes(_ context.Context, s *Suite) error {
	if err := s.configAgainst("customer", []int{250, 1000, 2000, 4000}, func(n int) *config.Cluster { return clusterOf(2300, n) }); err != nil {
		return err
	}
	return s.configAgainst("group", []int{100, 500, 1000, 2300}, func(n int) *config.Cluster { return clusterOf(n, 8) })
}

func (s *Suite) configAgainst(per string, sizes []int, build func(int) *config.Cluster) error {
	bytes := &series{name: "configuration bytes", unit: "B", per: per, note: "root and chunks, compressed"}
	apply := &series{name: "apply one key change", unit: "ms", per: per, note: "decode of the changed chunk, check, index"}
	heap := &series{name: "configuration heap", unit: "B", per: per, note: "decoder and snapshot"}
	for _, n := range sizes {
		c := build(n)
		e, err := config.Encode(c, config.Root{Operator: "capacity"})
		if err != nil {
			return errors.Wrap(err, "encode configuration")
		}
		bytes.add(n, float64(e.Size()))
		before := heapBytes()
		d := config.NewDecoder()
		kept, err := loadCluster(d, e)
		if err != nil {
			return err
		}
		heap.add(n, float64(heapBytes())-float64(before))
		runtime.KeepAlive(kept)
		took, err := applyTime(c, e)
		if err != nil {
			return err
		}
		apply.add(n, took.Seconds()*1000)
	}
	return s.keep(bytes, apply, heap)
}

// loadCluster decodes, checks and indexes a configuration as a daemon does.
func loadCluster(d *config.Decoder, e *config.Encoded) (*config.Snapshot, error) {
	c, err := d.Decode(e)
	if err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if faults := config.Check(c); len(faults) > 0 {
		return nil, errors.Errorf("configuration is not valid: %v", faults[0])
	}
	return config.NewSnapshot(c), nil
}

// applyTime returns the mean processor time to apply the withdrawal of a key.
func applyTime(c *config.Cluster, before *config.Encoded) (time.Duration, error) {
	next := c.Clone()
	next.Version = 2
	next.Customers[len(next.Customers)/2].Keys[0].Withdrawn = true
	after, err := config.Encode(next, config.Root{Operator: "capacity"})
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}
	d := config.NewDecoder()
	total := time.Duration(0)
	for range applyRounds {
		if _, err := d.Decode(before); err != nil {
			return 0, errors.Wrap(err, "decode configuration")
		}
		start := processorTime()
		if _, err := loadCluster(d, after); err != nil {
			return 0, err
		}
		total += processorTime() - start
	}
	return total / applyRounds, nil
}

// waitingPerCustomer is the number of requests that wait for each customer in the measured queue.
const waitingPerCustomer = 10

// admissionSlopes measures the memory of buckets and queues against customers of one group.
func admissionSlopes(_ context.Context, s *Suite) error {
	idle := &series{name: "admission heap, idle", unit: "B", per: "customer of a group", note: "bucket and flow"}
	full := &series{name: "admission heap, 10 waiting each", unit: "B", per: "customer of a group", note: "queue items without the requests"}
	now := time.Unix(0, 0)
	for _, n := range []int{100, 1000, 4000} {
		before := heapBytes()
		q := admission.NewQueue[int](2, 0)
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("customer-%04d", i)
			b := admission.NewBucket(config.Contract{RatePerSecond: 50, Burst: 100, Share: 1}, 0, now)
			q.SetCustomer(names[i], 1, b, now)
		}
		idle.add(n, float64(heapBytes())-float64(before))
		for i := range n * waitingPerCustomer {
			it := admission.Item[int]{Customer: names[i%n], Deadline: now.Add(time.Hour), Value: i}
			if _, err := q.Push(it, now); err != nil {
				return errors.Wrap(err, "push request")
			}
		}
		full.add(n, float64(heapBytes())-float64(before))
		runtime.KeepAlive(q)
		runtime.KeepAlive(names)
	}
	return s.keep(idle, full)
}

// auditSlopes measures the encoded size and the heap of audit records.
func auditSlopes(_ context.Context, s *Suite) error {
	bytes := &series{name: "audit bytes", unit: "B", per: "record", note: "JSON of a home claim with four inputs"}
	for _, n := range []int{100, 1000, 4096} {
		records := make([]audit.Record, n)
		for i := range records {
			records[i] = claimRecord(i)
		}
		p, err := json.Marshal(records)
		if err != nil {
			return errors.Wrap(err, "encode records")
		}
		bytes.add(n, float64(len(p)))
	}
	return s.keep(bytes)
}

// claimRecord returns a record of a claimed home with ids of usual length.
func claimRecord(i int) audit.Record {
	info := gossipInfo(i)
	return audit.Record{
		Instance: info.ID, Sequence: uint64(time.Now().UnixMicro()) + uint64(i), Time: time.Now(),
		Kind: audit.KindHomeClaimed, Cause: "the previous home is dead", Generation: uint64(i), Term: 3,
		Group: upstream.GroupID(fmt.Sprintf("group-%05d", i)),
		Inputs: []audit.Input{
			{Key: "previous_owner", Value: string(info.ID)}, {Key: "members", Value: "m1,m2,m3"},
			{Key: "domain", Value: string(info.FailureDomain)}, {Key: "peer", Value: info.PeerAddress},
		},
	}
}
