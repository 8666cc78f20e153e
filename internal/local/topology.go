package local

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Example names a deployment of design section 1.
type Example string

// Examples.
const (
	ExampleKestrel     Example = "kestrel"
	ExampleSwanWhistle Example = "swanwhistle"
)

// instances is the number of entry instances, one in each failure domain.
const instances = 3

const (
	// platformLatency is what the key-value service takes to answer.
	platformLatency = 2 * time.Millisecond
	// serviceTime is how long a statement holds its slot, replicaLag how long replicas apply after they received.
	serviceTime = time.Millisecond
	replicaLag  = 5 * time.Millisecond
)

// sizes holds what differs between the examples (design section 1).
type sizes struct {
	region        string
	domainLatency time.Duration
	databases     [3]string
	slots         int
	connections   int
	connectTime   time.Duration
	// customer may use all databases, limited only the first two.
	customer, limited string
	contract          config.Contract
}

var examples = map[Example]sizes{
	ExampleKestrel: {
		region: "mu-north", domainLatency: 1500 * time.Microsecond,
		databases: [3]string{"dispatch", "meters", "settlement"},
		slots:     3, connections: 20, connectTime: 10 * time.Millisecond,
		customer: "grid-operator", limited: "water-board",
		contract: config.Contract{RatePerSecond: 300, Burst: 150, Share: 4},
	},
	ExampleSwanWhistle: {
		region: "wa-south", domainLatency: time.Millisecond,
		databases: [3]string{"appointments", "fixtures", "clubs"},
		slots:     2, connections: 30, connectTime: 30 * time.Millisecond,
		customer: "football", limited: "junior-soccer",
		contract: config.Contract{RatePerSecond: 340, Burst: 160, Share: 4},
	},
}

// topology describes three groups of three members and three instances. The primaries start in different failure
// domains.
func (s *sizes) topology() *experiment.Topology {
	t := &experiment.Topology{
		Region:        s.region,
		DomainLatency: load.Duration(s.domainLatency),
		Instances:     instances,
		Platform:      experiment.Platform{Latency: load.Duration(platformLatency)},
	}
	for _, suffix := range []string{"a", "b", "c"} {
		t.FailureDomains = append(t.FailureDomains, instance.FailureDomain(s.region+"-"+suffix))
	}
	for i, name := range s.databases {
		t.Groups = append(t.Groups, s.group(t.FailureDomains, i, name))
	}
	contracts := map[config.Preset]config.Contract{config.PresetOrdinary: s.contract}
	t.Customers = []experiment.Customer{
		{Name: s.customer, Databases: s.databases[:], Contracts: contracts},
		{Name: s.limited, Databases: s.databases[:2], Contracts: contracts},
	}
	for i := range t.Customers {
		t.Customers[i].MainGroup = t.Groups[0].ID
	}
	return t
}

func (s *sizes) group(domains []instance.FailureDomain, i int, name string) experiment.Group {
	g := experiment.Group{
		ID: upstream.GroupID(name), Database: name, Slots: s.slots, Connections: s.connections,
		ConnectTime: load.Duration(s.connectTime), ServiceTime: load.Duration(serviceTime),
		ReplicaLag: load.Duration(replicaLag),
	}
	for k := range domains {
		g.Members = append(g.Members, experiment.Member{
			ID:            upstream.MemberID(fmt.Sprintf("%s-%d", name, k+1)),
			FailureDomain: domains[(i+k)%len(domains)],
		})
	}
	return g
}
