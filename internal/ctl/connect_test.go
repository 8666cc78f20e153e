package ctl

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/platform/client"
	standin "github.com/celerystep/celerystep/internal/standin/platform"
)

// Guards against a tool that works with stand-ins in memory only: key-value service over the network, mutual TLS to the
// instance, a lost answer, an outage and a restart from an old copy.
func TestOverRealConnections(t *testing.T) {
	is := is.New(t)
	files := writeCertificates(t)
	store, err := certs.Load(files)
	is.NoErr(err)
	server, err := standin.Start(standin.Options{})
	is.NoErr(err)
	kv := client.New(client.Options{Address: server.Addr()})
	w := &world{t: t, connect: Connect}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	n := w.start(ctx, &wg, 0, kv, store.ServerConfig())
	server.Register(platform.InstanceEntry{Info: n.info})
	defer func() {
		cancel()
		wg.Wait()
		n.server.Close()
		kv.Close()
		_ = server.Close()
	}()

	flags := []string{"--platform=" + server.Addr(), "--tls-certificate=" + files.Certificate, "--tls-key=" + files.Key,
		"--tls-authority=" + files.Roots, "--wait=10s"}
	run := func(args ...string) (int, string) {
		code, out, fail := w.run(append(flags, args...)...)
		return code, out + fail
	}
	code, text := run("config", "init", "../../examples/swanwhistle/cluster.json")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, "in force on 1 of 1 instances"))
	old := server.Snapshot()

	server.LoseAnswers(3)
	code, text = run("preset", "set", "peak")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, "accepted as version 2"))

	server.Restore(old)
	code, text = run("domain", "out", "wa-south-b")
	// The instance repairs the service before the change, after it, or between the tool's reading and writing.
	repairedBetween := code == ExitConflict && strings.Contains(text, "made for version 1, but version 2")
	is.True(code == ExitBehind || code == ExitOK || repairedBetween)
	w.await(func() bool {
		code, _ := run("--base-version=2", "domain", "out", "wa-south-b")
		return code == ExitOK || code == ExitConflict
	})
	is.Equal(string(n.keeper.Snapshot().Cluster().Preset), "peak")
	is.True(n.keeper.Snapshot().DomainOut("wa-south-b"))

	server.SetDown(true)
	code, text = run("preset", "set", "ordinary")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(text, "Nothing was changed"))
	plain := []string{"--platform=" + server.Addr(), "--instance=" + n.address(), "status"}
	code, out, _ := w.run(plain...)
	is.Equal(code, ExitFailed) // without certificate the instance does not answer
	is.True(strings.Contains(out, "no answer"))
}

func writeCertificates(t *testing.T) certs.Files {
	dir := t.TempDir()
	f := certs.Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Roots: filepath.Join(dir, "roots")}
	certificate, key, roots := certstest.New(t).Issue(t, certs.PeerName)
	for file, pem := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.Roots: roots} {
		if err := os.WriteFile(file, pem, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}
