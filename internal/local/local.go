// Package local runs a key-value service, three database groups and three instances of the daemon in one process.
package local

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/fleet"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/settings"
)

// Options configure a System.
type Options struct {
	Example Example
	Logger  hclog.Logger
	// CallerAddresses are the host:port of the instances; instances without one take a free port of 127.0.0.1.
	CallerAddresses []string
	// PlatformAddress is the host:port of the key-value service; empty means a free port of 127.0.0.1.
	PlatformAddress string
	// Capture keeps the bytes that reach the groups, for tests that search them.
	Capture bool
}

// System is a running fleet with the certificate that it shows to callers.
type System struct {
	fleet     *fleet.Fleet
	topology  *experiment.Topology
	sizes     sizes
	directory string
	tls       settings.CallerTLS
}

// Start starts all parts and returns when callers can be served. Close ends them.
func Start(ctx context.Context, o Options) (*System, error) {
	example, ok := examples[o.Example]
	if !ok {
		return nil, errors.Errorf("unknown example %q", o.Example)
	}
	s := &System{sizes: example, topology: example.topology()}
	if err := s.start(ctx, o); err != nil {
		return nil, errors.Join(err, s.removeFiles())
	}
	return s, nil
}

func (s *System) start(ctx context.Context, o Options) error {
	var err error
	if s.directory, err = os.MkdirTemp("", "celerystep-local-"); err != nil {
		return errors.Wrap(err, "make directory for the certificate")
	}
	if s.tls, err = writeCertificate(s.directory); err != nil {
		return err
	}
	s.fleet, err = fleet.Start(ctx, s.topology, fleet.Options{
		Logger:          o.Logger,
		Capture:         o.Capture,
		CallerAddresses: o.CallerAddresses,
		PlatformAddress: o.PlatformAddress,
		CallerTLS:       s.tls,
		FaultFunctions:  true,
	})
	return err
}

func (s *System) removeFiles() error {
	if s.directory == "" {
		return nil
	}
	return os.RemoveAll(s.directory)
}

// Close ends the fleet at once and removes the certificate.
func (s *System) Close(ctx context.Context) error {
	return errors.Join(s.fleet.Close(ctx), s.removeFiles())
}

// Fleet returns the fleet.
func (s *System) Fleet() *fleet.Fleet { return s.fleet }

// Database returns the name of the first database.
func (s *System) Database() string { return s.sizes.databases[0] }

// Customer returns the name of the customer that may use all databases.
func (s *System) Customer() string { return s.sizes.customer }

// Limited returns the name of the customer that may not use the last database.
func (s *System) Limited() string { return s.sizes.limited }

// URL returns the connection string of an instance for a credential. The certificate is checked against its file.
func (s *System) URL(i int, c load.Credential, database string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=verify-ca&sslrootcert=%s",
		c.User, c.Password, s.fleet.CallerAddresses()[i], database, s.tls.CertificateFile)
}
