// Package certs keeps a TLS certificate, its private key and trusted roots that are replaced while connections are
// served. New handshakes use the newest material; open connections keep theirs.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// DefaultPollInterval is the time between two looks at the files. It bounds how late a renewed certificate is used.
const DefaultPollInterval = 10 * time.Second

// Files names the PEM files. Roots may be empty when no peer certificates are checked.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Roots       string `json:"roots,omitempty"`
}

// Material is one consistent set loaded from the files. Roots is nil when no file is named.
type Material struct {
	Certificate *tls.Certificate
	Roots       *x509.CertPool
}

// Store holds the material in use.
type Store struct {
	files   Files
	current atomic.Pointer[Material]
	// mu serialises reloads; stamps describes the files as last loaded.
	mu     sync.Mutex
	stamps [3]stamp
}

// stamp detects a changed file without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files.
func Load(f Files) (*Store, error) {
	s := &Store{files: f}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Current returns the material for a new handshake.
func (s *Store) Current() *Material { return s.current.Load() }

// GetCertificate serves as tls.Config.GetCertificate.
func (s *Store) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.Current().Certificate, nil
}

// Reload reads the files now. On an error the material in use stays.
func (s *Store) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.look()
	if err != nil {
		return err
	}
	m, err := read(s.files)
	if err != nil {
		return err
	}
	s.stamps = stamps
	s.current.Store(m)
	return nil
}

func read(f Files) (*Material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s", f.Certificate)
	}
	m := &Material{Certificate: &certificate}
	if f.Roots == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.Roots)
	if err != nil {
		return nil, errors.Wrap(err, "load roots")
	}
	m.Roots = x509.NewCertPool()
	if !m.Roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("load roots: no certificate in %s", f.Roots)
	}
	return m, nil
}

func (s *Store) look() (stamps [3]stamp, err error) {
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Roots} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "look at certificate files")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// changed reports whether a file differs from what was loaded.
func (s *Store) changed() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.look()
	return stamps != s.stamps, err
}

// Watch looks at the files at each interval until ctx ends and reloads them when they changed. It reports each reload
// and each failure; a failed one is tried again at the next interval.
func (s *Store) Watch(ctx context.Context, interval time.Duration, report func(reloaded bool, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := s.changed()
		if err == nil && changed {
			err = s.Reload()
		}
		if err != nil || changed {
			report(err == nil, err)
		}
	}
}
