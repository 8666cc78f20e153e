package configcheck

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/upstream"
)

// example returns an example configuration in the order of its file.
func example(t *testing.T, name string) *config.Cluster {
	t.Helper()
	document, err := os.ReadFile("../../examples/" + name + "/cluster.json")
	if err != nil {
		t.Fatal(err)
	}
	c, _, problems := config.ParseDocument(document)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return c
}

// Guards against warnings about configurations that work.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"kestrel", "swanwhistle"} {
		is := is.New(t)
		is.Equal(Inspect(example(t, name)), nil)
	}
}

// Guards, for each kind of finding, against an entry that is not reported, has a wrong path, or brings findings about
// other entries. Customers 0, 1, 2 and 7 of the example are dispatch, meter-dashboards, settlement-jobs and
// public-outage-map; route 2 is settlement, route 3 the open route outages.
func TestFindings(t *testing.T) {
	contract := func(c *config.Cluster, rate float64, burst int) {
		c.Customers[2].Contracts[config.PresetPeak] = config.Contract{RatePerSecond: rate, Burst: burst, Share: 1}
	}
	cases := map[string]struct {
		change func(c *config.Cluster)
		want   []string
	}{
		"group without a route": {
			func(c *config.Cluster) {
				g := c.Groups[0]
				g.ID = "spare"
				c.Groups = append(c.Groups, g)
			},
			[]string{`groups[3]: no route leads to group "spare"`},
		},
		"group without a working member": {
			func(c *config.Cluster) {
				c.FailureDomains[0].Out, c.FailureDomains[1].Out = true, true
				c.Groups[1].Members[2].State = upstream.MemberLeaving
			},
			[]string{`groups[1].members: no member of group "readings" is active`},
		},
		"fewer connections than slots": {
			func(c *config.Cluster) { c.Groups[2].Connections = 11 },
			[]string{"groups[2].connections: 11 connections leave 8 for statements; the 9 slots"},
		},
		"customer without a route": {
			func(c *config.Cluster) { c.Routes[2].Customers = []string{"dispatch"} },
			[]string{`customers[2]: no route allows customer "settlement-jobs"`},
		},
		"customer without a key": {
			func(c *config.Cluster) { c.Customers[2].Keys[0].Withdrawn = true },
			[]string{
				`customers[2].keys: customer "settlement-jobs" has no key that works`,
				`routes[2].customers[0]: customer "settlement-jobs" has no key that works and cannot use the route`,
			},
		},
		"entry shadowed by the open customer": {
			func(c *config.Cluster) { c.Routes[3].Customers = []string{"public-outage-map"} },
			[]string{`routes[3].customers[0]: customer "public-outage-map" has no key that works; its callers count as`},
		},
		"main group without a route": {
			func(c *config.Cluster) { c.Customers[2].MainGroup = "orders" },
			[]string{`customers[2].main_group: no route of customer "settlement-jobs" leads to its main group "orders"`},
		},
		"two names of one secret": {
			func(c *config.Cluster) { c.Customers[1].Keys[1].StoredKey = c.Customers[0].Keys[0].StoredKey },
			[]string{`customers[1].keys[1].stored_key: key "wallboard" has the verifier of customers[0].keys[0]`},
		},
		"route for nobody": {
			func(c *config.Cluster) {
				c.Routes = append(c.Routes, config.Route{Database: "archive", Group: "orders"})
			},
			[]string{`routes[4]: route "archive" allows no customer`},
		},
		"rate above the slots": {
			func(c *config.Cluster) { contract(c, 9001, 80) },
			[]string{"customers[2].contracts.peak.rate_per_second: is 9001; the 9 slots"},
		},
		"burst above slots and queue": {
			func(c *config.Cluster) { contract(c, 9000, 1010) },
			[]string{"customers[2].contracts.peak.burst: is 1010; the customer's groups run 9 statements at once and queue 1000"},
		},
		"limits at their bounds": {
			func(c *config.Cluster) { contract(c, 9000, 1009); c.Groups[2].Connections = 12 }, nil,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := example(t, "kestrel")
			test.change(c)
			got := Inspect(c)
			if len(got) != len(test.want) {
				t.Fatalf("got %v, want %q", got, test.want)
			}
			for n, want := range test.want {
				if !strings.HasPrefix(got[n].String(), "warning: "+want) {
					t.Errorf("got %q, want %q", got[n], want)
				}
			}
		})
	}
}
