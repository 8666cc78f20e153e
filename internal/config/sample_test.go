package config

import (
	"fmt"
	"math/rand/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// sample returns a valid configuration with three failure domains. Verifiers are random, so that they compress as
// badly as real ones.
func sample(groups, customers int) *Cluster {
	random := rand.New(rand.NewPCG(uint64(groups), uint64(customers)))
	c := &Cluster{Preset: PresetOrdinary, Groups: []upstream.Group{}, Customers: []Customer{}, Routes: []Route{}}
	for _, d := range []string{"north-a", "north-b", "north-c"} {
		c.FailureDomains = append(c.FailureDomains, FailureDomain{Name: instance.FailureDomain(d), Region: "north"})
	}
	for i := range groups {
		c.Groups = append(c.Groups, sampleGroup(c, i))
	}
	for i := range customers {
		c.Customers = append(c.Customers, sampleCustomer(random, i))
		c.Routes = append(c.Routes, Route{
			Database:  fmt.Sprintf("database-%04d", i),
			Group:     c.Groups[i%groups].ID,
			Customers: []string{c.Customers[i].Name},
		})
	}
	c.Normalize()
	return c
}

func sampleGroup(c *Cluster, i int) upstream.Group {
	g := upstream.Group{ID: upstream.GroupID(fmt.Sprintf("group-%04d", i)), Slots: 3, Connections: 20}
	for j := range 3 {
		g.Members = append(g.Members, upstream.Member{
			ID:            upstream.MemberID(fmt.Sprintf("m%d", j+1)),
			Address:       fmt.Sprintf("10.%d.%d.%d:5432", j+1, i/250, i%250+1),
			FailureDomain: c.FailureDomains[j].Name,
			State:         upstream.MemberActive,
		})
	}
	return g
}

func sampleCustomer(random *rand.Rand, i int) Customer {
	c := Customer{Name: fmt.Sprintf("customer-%04d", i), Contracts: map[Preset]Contract{}}
	for j, p := range Presets() {
		c.Contracts[p] = Contract{RatePerSecond: float64(50 + i%7*10*(j+1)), Burst: 100 + j, Share: 1 + i%5}
	}
	for j := range 2 {
		c.Keys = append(c.Keys, sampleKey(random, fmt.Sprintf("key-%d", j+1)))
	}
	return c
}

func sampleKey(random *rand.Rand, name string) Key {
	return Key{
		Name:       name,
		Salt:       randomBytes(random, 16),
		Iterations: 4096,
		StoredKey:  randomBytes(random, verifierBytes),
		ServerKey:  randomBytes(random, verifierBytes),
	}
}

func randomBytes(random *rand.Rand, n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(random.Uint32())
	}
	return p
}
