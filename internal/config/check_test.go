package config

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against mistakes that come into force, and against reports without their place.
func TestCheckFindsMistakes(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Cluster)
		want   string
	}{
		{"preset", func(c *Cluster) { c.Preset = "peek" }, `preset: "peek" is not one of`},
		{"no domain in", func(c *Cluster) {
			for i := range c.FailureDomains {
				c.FailureDomains[i].Out = true
			}
		}, `failure_domains: at least one failure domain must be in`},
		{"domain twice", func(c *Cluster) { c.FailureDomains[1].Name = "north-a" }, `failure_domains[1].name: failure domain "north-a" is given twice`},
		{"domain name", func(c *Cluster) { c.FailureDomains[0].Name = "North" }, `failure_domains[0].name: "North" must be`},
		{"region", func(c *Cluster) { c.FailureDomains[0].Region = "" }, `failure_domains[0].region`},
		{"group twice", func(c *Cluster) { c.Groups[1].ID = "group-0000" }, `groups[1].id: group "group-0000" is given twice`},
		{"two members", func(c *Cluster) { c.Groups[0].Members = c.Groups[0].Members[:2] }, `groups[0].members: has 2 entries; 3 to 7`},
		{"member twice", func(c *Cluster) { c.Groups[0].Members[1].ID = "m1" }, `groups[0].members[1].id: member "m1" is given twice`},
		{"member domain", func(c *Cluster) { c.Groups[0].Members[1].FailureDomain = "x" }, `groups[0].members[1].failure_domain: there is no`},
		{"member state", func(c *Cluster) { c.Groups[0].Members[1].State = "" }, `groups[0].members[1].state`},
		{"member host name", func(c *Cluster) { c.Groups[0].Members[1].Address = "db:5432" }, `groups[0].members[1].address: "db:5432" must be an IP`},
		{"address twice", func(c *Cluster) { c.Groups[1].Members[0].Address = c.Groups[0].Members[0].Address }, `is also the address of groups[0].members[0]`},
		{"all leaving", func(c *Cluster) {
			for i := range c.Groups[0].Members {
				c.Groups[0].Members[i].State = upstream.MemberLeaving
			}
		}, `groups[0].members: at least one member must be active`},
		{"slots", func(c *Cluster) { c.Groups[0].Slots = 0 }, `groups[0].slots: is 0; 1 to 1024`},
		{"connections", func(c *Cluster) { c.Groups[0].Connections = 3 }, `groups[0].connections: is 3; 4 to`},
		{"customer name", func(c *Cluster) { c.Customers[0].Name = "a.b" }, `customers[0].name: "a.b" must be`},
		{"long name", func(c *Cluster) { c.Customers[0].Name = strings.Repeat("a", 64) }, `customers[0].name`},
		{"customer twice", func(c *Cluster) { c.Customers[1].Name = "customer-0000" }, `customers[1].name: customer "customer-0000" is given twice`},
		{"main group", func(c *Cluster) { c.Customers[0].MainGroup = "x" }, `customers[0].main_group: there is no group "x"`},
		{"preset missing", func(c *Cluster) { delete(c.Customers[0].Contracts, PresetPeak) }, `customers[0].contracts.peak: the contract for preset "peak" is missing`},
		{"preset unknown", func(c *Cluster) { c.Customers[0].Contracts["x"] = Contract{} }, `customers[0].contracts: has 4 entries`},
		{"rate", func(c *Cluster) { setContract(c, Contract{Burst: 1, Share: 1}) }, `customers[0].contracts.peak.rate_per_second: is 0`},
		{"rate not a number", func(c *Cluster) { setContract(c, Contract{RatePerSecond: math.NaN(), Burst: 1, Share: 1}) }, `rate_per_second: is NaN`},
		{"burst", func(c *Cluster) { setContract(c, Contract{RatePerSecond: 1, Share: 1}) }, `customers[0].contracts.peak.burst: is 0`},
		{"share", func(c *Cluster) { setContract(c, Contract{RatePerSecond: 1, Burst: 1, Share: 1001}) }, `customers[0].contracts.peak.share: is 1001`},
		{"key twice", func(c *Cluster) { c.Customers[0].Keys[1].Name = "key-1" }, `customers[0].keys[1].name: key "key-1" is given twice`},
		{"salt", func(c *Cluster) { c.Customers[0].Keys[0].Salt = nil }, `customers[0].keys[0].salt: has 0 bytes`},
		{"iterations", func(c *Cluster) { c.Customers[0].Keys[0].Iterations = 1 }, `customers[0].keys[0].iterations: is 1`},
		{"stored key", func(c *Cluster) { c.Customers[0].Keys[0].StoredKey = nil }, `customers[0].keys[0].stored_key`},
		{"server key", func(c *Cluster) { c.Customers[0].Keys[0].ServerKey = nil }, `customers[0].keys[0].server_key`},
		{"database twice", func(c *Cluster) { c.Routes[1].Database = "database-0000" }, `routes[1].database: database "database-0000" is given twice`},
		{"route group", func(c *Cluster) { c.Routes[0].Group = "x" }, `routes[0].group: there is no group "x"`},
		{"route customer", func(c *Cluster) { c.Routes[0].Customers[0] = "x" }, `routes[0].customers[0]: there is no customer "x"`},
		{"route customer twice", func(c *Cluster) { c.Routes[0].Customers = []string{"customer-0000", "customer-0000"} }, `routes[0].customers[1]: customer "customer-0000" is given twice`},
		{"open customer", func(c *Cluster) { c.Routes[0].OpenCustomer = "x" }, `routes[0].open_customer: there is no customer "x"`},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := sample(2, 2)
			k.change(c)
			text := (&InvalidError{Problems: Check(c)}).Error()
			if !strings.Contains(text, k.want) {
				t.Errorf("got %s\nwant %s", text, k.want)
			}
		})
	}
	is.New(t).Equal(len(Check(sample(2, 2))), 0)
}

func setContract(c *Cluster, k Contract) { c.Customers[0].Contracts[PresetPeak] = k }

// Guards against steps between two valid configurations that would lose a majority or bring a withdrawn key back.
func TestCheckChange(t *testing.T) {
	cases := []struct {
		name     string
		from, to func(c *Cluster)
		want     string
	}{
		{"two members", nil, func(c *Cluster) { addMember(c, "m4"); addMember(c, "m5") }, `groups[0].members: group "group-0000" gains and loses 2 members`},
		{"swap", leaving, func(c *Cluster) { addMember(c, "m9"); removeFirst(c) }, `gains and loses 2 members`},
		{"address", nil, func(c *Cluster) { c.Groups[0].Members[0].Address = "10.9.9.9:1" }, `groups[0].members[0].address: member "m1" keeps its address`},
		{"not leaving", func(c *Cluster) { addMember(c, "m4") }, func(c *Cluster) { addMember(c, "m4"); removeFirst(c) }, `member "m1" must be leaving`},
		{"reinstated", func(c *Cluster) { c.Customers[0].Keys[0].Withdrawn = true }, func(*Cluster) {}, `customers[0].keys[0].withdrawn: key "key-1" of customer "customer-0000" was withdrawn`},
		{"one member", nil, func(c *Cluster) { addMember(c, "m4") }, ``},
		{"removal", func(c *Cluster) { addMember(c, "m4"); leaving(c) }, func(c *Cluster) { addMember(c, "m4"); removeFirst(c) }, ``},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			from, to := sample(1, 1), sample(1, 1)
			if k.from != nil {
				k.from(from)
			}
			k.to(to)
			problems := CheckChange(from, to)
			text := (&InvalidError{Problems: problems}).Error()
			if k.want == "" && len(problems) > 0 || !strings.Contains(text, k.want) {
				t.Errorf("got %s\nwant %s", text, k.want)
			}
		})
	}
}

func leaving(c *Cluster) { c.Groups[0].Members[0].State = upstream.MemberLeaving }

func removeFirst(c *Cluster) { c.Groups[0].Members = c.Groups[0].Members[1:] }

func addMember(c *Cluster, id upstream.MemberID) {
	m := c.Groups[0].Members[0]
	m.ID, m.Address = id, "10.8.0."+string(id[1:])+":5432"
	c.Groups[0].Members = append(c.Groups[0].Members, m)
}

// Guards against differences that an operator is not told of.
func TestDiffInWords(t *testing.T) {
	is := is.New(t)
	a, b := sample(2, 2), sample(2, 2)
	b.Preset = PresetPeak
	b.FailureDomains[1].Out = true
	b.Groups[0].Slots = 4
	b.Groups[0].Members[2].State = upstream.MemberLeaving
	b.Groups = b.Groups[:1]
	setContract(b, Contract{RatePerSecond: 75.5, Burst: 9, Share: 2})
	b.Customers[0].Keys[0].Withdrawn = true
	b.Customers[1].Keys = b.Customers[1].Keys[:1]
	b.Routes[0].OpenCustomer = "customer-0001"
	b.Routes[0].Customers = []string{"customer-0001"}
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	want := []string{
		"preset: ordinary -> peak",
		"failure domain north-b: in -> out",
		"group group-0000: slots 3 -> 4",
		"group group-0000: member m3: active -> leaving",
		"group group-0001: removed",
		"customer customer-0000: contract peak: rate 50/s -> 75.5/s",
		"customer customer-0000: contract peak: burst 101 -> 9",
		"customer customer-0000: contract peak: share 1 -> 2",
		"customer customer-0000: key key-1 withdrawn",
		"customer customer-0001: key key-2 removed",
		"route database-0000: closed to callers without a key -> open to callers without a key as customer customer-0001",
		"route database-0000: customer customer-0001 allowed",
		"route database-0000: customer customer-0000 no longer allowed",
	}
	is.Equal(got, want)
	is.Equal(len(Diff(b, b)), 0)
}

// Guards against a file that cannot be read back, and against mistakes without path and line.
func TestParseFile(t *testing.T) {
	is := is.New(t)
	c := sample(2, 3)
	text, err := FormatFile(c)
	is.NoErr(err)
	back, problems := ParseFile(text)
	is.Equal(len(problems), 0)
	is.Equal(len(Diff(c, back)), 0)

	broken := strings.Replace(string(text), `"slots": 3`, `"slotz": 3`, 1)
	_, problems = ParseFile([]byte(broken))
	is.Equal(len(problems), 2)
	is.Equal(problems[0].String(), "line 23: groups[0].slots: this field is required")
	_, problems = ParseFile([]byte(strings.Replace(string(text), `"group": "group-0001"`, `"group": "x"`, 1)))
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Path, "routes[1].group")
	is.True(problems[0].Line > 100)
}
