package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const minimal = `{
  "instance_id": "mu-a1",
  "failure_domain": "mu-north-a",
  "region": "mu-north",
  "upstream": {"user": "celerystep"},
  "platform": {"address": "127.0.0.1:2380"}
}`

// Guards against a schema whose fields, defaults or descriptions differ from the Go types.
func TestSchemaMatchesDefaults(t *testing.T) {
	is := is.New(t)
	var schema map[string]any
	is.NoErr(json.Unmarshal(schemaDocument, &schema))
	text, err := json.Marshal(Default())
	is.NoErr(err)
	var defaults map[string]any
	is.NoErr(json.Unmarshal(text, &defaults))
	compareFields(t, "", schema, defaults)
}

func compareFields(t *testing.T, path string, schema, defaults map[string]any) {
	properties := schema["properties"].(map[string]any)
	for name := range properties {
		if _, ok := defaults[name]; !ok && name != "$schema" {
			t.Errorf("%s.%s is in the schema only", path, name)
		}
	}
	for name, value := range defaults {
		p, ok := properties[name].(map[string]any)
		if !ok || p["description"] == nil {
			t.Errorf("%s.%s is not described in the schema", path, name)
			continue
		}
		if sub, ok := value.(map[string]any); ok {
			compareFields(t, path+"."+name, p, sub)
			continue
		}
		want, _ := json.Marshal(p["default"])
		got, _ := json.Marshal(value)
		if p["default"] != nil && !bytes.Equal(want, got) {
			t.Errorf("%s.%s: schema default %s, Go default %s", path, name, want, got)
		}
		if p["default"] == nil && string(got) != `""` {
			t.Errorf("%s.%s has the default %s in Go and none in the schema", path, name, got)
		}
	}
}

// Guards against defaults that are lost when the file gives part of an object.
func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, problems := Parse([]byte(strings.Replace(minimal, `"region"`, `"timeouts": {"drain_timeout_ms": 7}, "region"`, 1)))
	is.Equal(len(problems), 0)
	is.Equal(s.Timeouts.Drain, Milliseconds(7))
	is.Equal(s.Timeouts.Request, Default().Timeouts.Request)
	is.Equal(s.Info().PeerAddress, "127.0.0.1:7401")
}

// Guards against mistakes that pass, and against messages without the place of the mistake.
func TestParseReportsMistakes(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"region"`, `"regoin": 1, "region"`, `line 4: regoin: unknown field`},
		{"unknown nested field", `{"user"`, `{"usr": "x", "user"`, `line 5: upstream.usr: unknown field`},
		{"field twice", `"region"`, `"region": "x", "region"`, `line 4: region: field given twice`},
		{"missing field", `  "region": "mu-north",`, ``, `line 1: region: this field is required`},
		{"wrong type", `"mu-north"`, `7`, `line 4: region: got number, want string`},
		{"bad name", `"mu-a1"`, `"Mu A1"`, `line 2: instance_id: 'Mu A1' does not match pattern`},
		{"host name", `127.0.0.1:2380`, `kv:2380`, `line 6: platform.address: must be an IP address and port`},
		{"no port", `127.0.0.1:2380`, `127.0.0.1:0`, `line 6: platform.address: must be an address that others can connect`},
		{"range", `"region"`, `"timeouts": {"login_timeout_ms": 1}, "region"`, `line 4: timeouts.login_timeout_ms: minimum`},
		{"not an integer in Go", `"region"`, `"limits": {"max_callers": 1e3}, "region"`, `line 4: limits.max_callers: number 1e3`},
		{"peers in plain", `"region"`, `"listen": {"peers": "10.0.0.1:1"}, "region"`, `line 4: listen.peers: must be a loopback`},
		{"all addresses", `"region"`, `"listen": {"callers": "0.0.0.0:1"}, "region"`, `advertise.callers: is required`},
		{"half a pair", `"region"`, `"tls": {"callers": {"key_file": "k"}}, "region"`, `tls.callers: give both`},
		{"two passwords", `"user"`, `"password": "a", "password_file": "b", "user"`, `upstream.password_file: give either`},
		{"short secret", `"region"`, `"token_keys": [{"id": 1, "secret": "c2hvcnQ="}], "region"`, `token_keys[0].secret: has 5 bytes`},
		{"two documents", `2380"}`, `2380"}} {`, `line 6: not valid JSON: text after the end`},
		{"cut off", `2380"}`, `2380"`, `not valid JSON`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, problems := Parse([]byte(strings.Replace(minimal, c.old, c.new, 1)))
			is.True(len(problems) > 0)
			if !strings.Contains(problems[0].String(), c.want) {
				t.Errorf("got %q, want %q", problems[0], c.want)
			}
		})
	}
}

// Guards against a check that stops at the first mistake, and against secrets in messages and printed settings.
func TestRunCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	bad := `{"instance_id": "A", "upstream": {"user": "u", "password": 5, "pasword": "hunter2"}}`
	is.NoErr(os.WriteFile(file, []byte(bad), 0o600))
	var out bytes.Buffer
	is.True(RunCheck(&out, file) != nil)
	is.Equal(strings.Count(out.String(), "\n"), 6) // pattern, type, unknown and three missing fields
	is.True(!strings.Contains(out.String(), "hunter2"))

	withFile := strings.Replace(minimal, `"user"`, `"password_file": "`+dir+`/password", "user"`, 1)
	is.NoErr(os.WriteFile(file, []byte(withFile), 0o600))
	is.True(RunCheck(&out, file) != nil) // the password file does not exist
	is.NoErr(os.WriteFile(dir+"/password", []byte("hunter2\n"), 0o600))
	out.Reset()
	is.NoErr(RunCheck(&out, file))
	s, err := Load(file)
	is.NoErr(err)
	files, err := s.LoadFiles()
	is.NoErr(err)
	is.Equal(string(files.UpstreamPassword), "hunter2")
	printed, err := json.Marshal(files.UpstreamPassword)
	is.NoErr(err)
	is.Equal(string(printed), `"redacted"`)
}

// Guards against defaults that the parser would refuse once the required fields are filled in.
func TestDefaultsAreAccepted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(RunDefaults(&out))
	text := out.String()
	for _, field := range []string{"instance_id", "failure_domain", "region", "user"} {
		text = strings.Replace(text, `"`+field+`": ""`, `"`+field+`": "x"`, 1)
	}
	text = strings.Replace(text, `"address": ""`, `"address": "127.0.0.1:1"`, 1)
	_, problems := Parse([]byte(text))
	is.Equal(len(problems), 0)
}

// Guards against panics, and against settings that are accepted with a mistake which their own output has.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"token_keys": [{"id": 1, "id": 2}], "a.b": {"[0]": []}}`))
	f.Add([]byte(strings.Replace(minimal, `"region"`, `"limits": {"max_callers": 1e3}, "region"`, 1)))
	f.Add([]byte("[[[[\n\n1e999"))
	f.Fuzz(func(t *testing.T, document []byte) {
		s, problems := Parse(document)
		if (s == nil) == (len(problems) == 0) {
			t.Fatalf("settings %v with problems %v", s, problems)
		}
		for _, p := range problems {
			if p.Line < 1 {
				t.Fatalf("no line in %v", p)
			}
		}
	})
}

// Guards against examples and a published schema that differ from what the program reads.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for _, file := range []string{"kestrel/settings", "kestrel/settings-local", "swanwhistle/settings", "swanwhistle/settings-local"} {
		document, err := os.ReadFile("../../examples/" + file + ".json")
		is.NoErr(err)
		_, problems := Parse(document)
		is.Equal(len(problems), 0)
	}
	schema, err := os.ReadFile("../../examples/schema/settings.schema.json")
	is.NoErr(err)
	is.True(bytes.Equal(schema, SchemaDocument()))
}
