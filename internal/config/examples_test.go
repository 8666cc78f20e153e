package config

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against examples that the check refuses or that do not have the sizes of design section 1.
func TestExamples(t *testing.T) {
	type sizes struct {
		region             string
		slots, connections int
	}
	for name, want := range map[string]sizes{"kestrel": {"mu-north", 3, 20}, "swanwhistle": {"wa-south", 2, 30}} {
		is := is.New(t)
		document, err := os.ReadFile("../../examples/" + name + "/cluster.json")
		is.NoErr(err)
		c, problems := ParseFile(document)
		is.Equal(len(problems), 0)
		is.Equal(len(c.FailureDomains), 3)
		is.Equal(len(c.Groups), 3)
		is.Equal(len(c.Customers), 8)
		for _, d := range c.FailureDomains {
			is.Equal(d.Region, want.region)
		}
		open := 0
		for _, r := range c.Routes {
			if r.OpenCustomer != "" {
				open++
			}
		}
		is.Equal(open, 1)
		for _, g := range c.Groups {
			is.Equal(len(g.Members), 3)
			is.Equal(g.Slots, want.slots)
			is.Equal(g.Connections, want.connections)
		}
		schema, err := os.ReadFile("../../examples/schema/cluster.schema.json")
		is.NoErr(err)
		is.True(bytes.Equal(schema, SchemaDocument()))
	}
}
