package certs

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/certs/certstest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func write(t *testing.T, f Files, a *certstest.Authority, name string) {
	t.Helper()
	certificate, key, roots := a.Issue(t, name)
	for file, pem := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.Roots: roots} {
		if err := os.WriteFile(file, pem, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func files(t *testing.T) Files {
	dir := t.TempDir()
	return Files{filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "roots")}
}

// TestReload guards against a renewed certificate that is not used and a broken file that ends service.
func TestReload(t *testing.T) {
	is := is.New(t)
	f, a := files(t), certstest.New(t)
	write(t, f, a, "first")
	s, err := Load(f)
	is.NoErr(err)
	first, _ := s.GetCertificate(nil)

	is.NoErr(os.WriteFile(f.Certificate, []byte("broken"), 0o600))
	is.True(s.Reload() != nil)
	is.Equal(s.Current().Certificate, first)

	ctx, cancel := context.WithCancel(context.Background())
	reloaded := make(chan bool, 100)
	done := make(chan struct{})
	go func() {
		s.Watch(ctx, time.Millisecond, func(ok bool, _ error) { reloaded <- ok })
		close(done)
	}()
	for !<-reloaded {
		write(t, f, a, "second")
	}
	is.True(s.Current().Certificate != first)
	cancel()
	<-done
}

// TestMutual guards against peers without a certificate of the fleet.
func TestMutual(t *testing.T) {
	is := is.New(t)
	a := certstest.New(t)
	load := func(a *certstest.Authority, name string) *Store {
		f := files(t)
		write(t, f, a, name)
		s, err := Load(f)
		is.NoErr(err)
		return s
	}
	server := load(a, PeerName)
	handshake := func(c *tls.Config) error {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		go func() {
			client := tls.Client(near, c)
			_ = client.Handshake()
			_, _ = client.Read(make([]byte, 1))
		}()
		return tls.Server(far, server.ServerConfig()).Handshake()
	}
	is.NoErr(handshake(load(a, PeerName).ClientConfig()))
	is.True(handshake(load(a, "other").ClientConfig()) != nil)
	stranger := load(certstest.New(t), PeerName).ClientConfig()
	stranger.RootCAs = server.Current().Roots
	is.True(handshake(stranger) != nil)
	stranger.Certificates = nil
	is.True(handshake(stranger) != nil)
}
