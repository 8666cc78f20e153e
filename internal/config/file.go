package config

import (
	_ "embed" // for the schema
	"encoding/json"

	"github.com/celerystep/celerystep/internal/jsoncheck"
)

//go:embed cluster.schema.json
var schemaDocument []byte

var schema = jsoncheck.MustCompile("cluster.schema.json", schemaDocument)

// SchemaDocument returns the JSON schema of a configuration file.
func SchemaDocument() []byte { return append([]byte(nil), schemaDocument...) }

// ParseFile reads and checks a configuration file. All mistakes are returned, each with its path and line, and the
// configuration is nil when there is one.
func ParseFile(document []byte) (*Cluster, []Problem) {
	c, _, problems := ParseDocument(document)
	if c != nil {
		c.Normalize()
	}
	return c, problems
}

// ParseDocument is ParseFile with the lists in the order of the document, so that the Positions locate the paths of
// later checks. The Positions are nil when the document is not JSON.
func ParseDocument(document []byte) (*Cluster, *jsoncheck.Positions, []Problem) {
	problems, pos := schema.Check(document)
	if len(problems) > 0 {
		return nil, pos, problems
	}
	c := &Cluster{}
	if problems := jsoncheck.Decode(document, c, pos); len(problems) > 0 {
		return nil, pos, problems
	}
	problems = Check(c)
	jsoncheck.Locate(problems, pos)
	if len(problems) > 0 {
		return nil, pos, problems
	}
	return c, pos, nil
}

// FormatFile returns the configuration as a file that ParseFile reads.
func FormatFile(c *Cluster) ([]byte, error) {
	out, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(out, '\n'), nil
}
