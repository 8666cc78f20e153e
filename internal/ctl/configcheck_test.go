package ctl

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/configcheck"
	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

const examplePath = "../../examples/kestrel/cluster.json"

// edited returns the path of the example with one text replaced.
func edited(t *testing.T, from, to string) string {
	t.Helper()
	document, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(document), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against wrong exit codes, findings without path and line, a missing difference, and a check that changes the
// configuration.
func TestConfigCheck(t *testing.T) {
	w := initialised(t)
	w.must("preset", "set", "peak")
	unused := edited(t, `"main_group": "orders"`, `"main_group": "settlement"`)
	invalid := edited(t, `"connections": 20`, `"connections": 0`)
	moved := edited(t, "10.20.11.1:5432", "10.20.11.9:5432")
	missing := filepath.Join(t.TempDir(), "none.json")
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"present version", []string{examplePath}, 0, "no findings\ndifferences from version 2:\n  preset: peak -> ordinary\n"},
		{"older version", []string{examplePath, "--against=1"}, 0, "no findings\ndifferences from version 1:\n  no difference\n"},
		{"file", []string{unused, "--against", examplePath}, 1, `customer dispatch: main group "orders" -> "settlement"`},
		{"warning", []string{unused}, 1, `warning: line 101: customers[0].main_group: no route of customer "dispatch"`},
		{"error", []string{invalid}, 1, "error: line 45: groups[0].connections: "},
		{"errors are not compared", []string{invalid}, 1, "not compared with version 2: the file has errors"},
		{"refused change", []string{moved}, 1, `groups[0].members[0].address: member "m1" keeps its address 10.20.11.1:5432`},
		{"no file", []string{missing}, 2, "none.json"},
		{"no such version", []string{examplePath, "--against=99"}, 2, "read version 99: version 99 is not kept"},
		{"no such base", []string{examplePath, "--against", missing}, 2, "none.json"},
		{"base with errors", []string{examplePath, "--against", invalid}, 2, "groups[0].connections"},
	}
	for _, c := range cases {
		code, out, fail := w.run(append([]string{"config", "check"}, c.args...)...)
		if code != c.code || !strings.Contains(out+fail, c.want) {
			t.Errorf("%s: exit code %d, want %d and %q:\n%s%s", c.name, code, c.code, c.want, out, fail)
		}
	}
	is.New(t).Equal(w.instances[0].keeper.Ref().Version, uint64(2))
}

// Guards against a check of a file that needs the key-value service, and against an unread version that passes.
func TestConfigCheckWithoutService(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	out := w.must("config", "check", examplePath)
	is.True(strings.Contains(out, "no findings\nnot compared: there is no configuration yet"))
	w.store.SetHook(platformtest.Hook{Before: func(context.Context, platformtest.Call) error { return errDown }})
	out = w.must("config", "check", examplePath)
	is.True(strings.Contains(out, "no findings\nnot compared: step=read root"))
	code, _, _ := w.run("config", "check", examplePath, "--against=1")
	is.Equal(code, ExitUsage)
}

// Guards against JSON output that programs cannot read: fields with other names, or text between the documents.
func TestConfigCheckJSON(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	path := edited(t, `"main_group": "orders"`, `"main_group": "settlement"`)
	code, out, fail := w.run("--output=json", "config", "check", path)
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(fail, `"exit_code":1`))
	is.True(strings.Contains(out, `"severity": "warning"`))
	is.True(strings.Contains(out, `"path": "customers[0].main_group"`))
	var r checkResult
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(len(r.Findings), 1)
	is.Equal(r.Findings[0].Severity, configcheck.SeverityWarning)
	is.Equal(r.Against, "version 1")
	is.Equal(r.Differences[0].Kind, "customer")
	out = w.must("--output=json", "config", "check", examplePath)
	is.True(strings.Contains(out, `"findings": []`))
	is.True(strings.Contains(out, `"differences": []`))
}
