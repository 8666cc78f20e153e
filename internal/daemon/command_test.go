package daemon

import (
	"bytes"
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/pagetest"
)

// Guards against pages that name commands or flags which celerystepd does not have.
func TestPagesNameCommands(t *testing.T) {
	commands := pagetest.Commands(t, "../..", "celerystepd")
	if len(commands) == 0 {
		t.Fatal("no command was found")
	}
	for _, c := range commands {
		if _, err := newCommandLine().app.Parse(c.Args); err != nil {
			t.Errorf("%s: %v: %v", c.Page, c.Args, err)
		}
	}
}

// exampleFiles is the directory that the examples name.
const exampleFiles = "/etc/celerystep/"

// Guards against example settings that the check refuses once the named files exist.
func TestExampleSettingsPassTheCheck(t *testing.T) {
	directory := writeExampleFiles(t)
	for _, name := range []string{"kestrel/settings", "kestrel/settings-local", "swanwhistle/settings", "swanwhistle/settings-local"} {
		is := is.New(t)
		document, err := os.ReadFile("../../examples/" + name + ".json")
		is.NoErr(err)
		path := filepath.Join(directory, "settings.json")
		text := strings.ReplaceAll(string(document), exampleFiles, directory+"/")
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		var out, fail bytes.Buffer
		if code := Main([]string{"check", path}, &out, &fail); code != exitOK {
			t.Errorf("%s: exit code %d: %s%s", name, code, out.String(), fail.String())
		}
	}
}

func writeExampleFiles(t *testing.T) string {
	directory := t.TempDir()
	certificate, key, roots := certstest.New(t).Issue(t, "celerystep-peer")
	token := []byte(base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32)))
	for name, content := range map[string][]byte{
		"callers.pem": certificate, "callers.key": key, "peer.pem": certificate, "peer.key": key, "peer-ca.pem": roots,
		"upstream-password": []byte("secret"), "token-1": token,
	} {
		if err := os.WriteFile(filepath.Join(directory, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}
