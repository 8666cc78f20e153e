package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/session"
)

// Files holds what the files named in the settings contain.
type Files struct {
	// Callers is nil when callers connect in plain text.
	Callers *certs.Store
	// Peers serves the peers' and the operators' address; it is nil when they connect in plain text.
	Peers *certs.Store
	// UpstreamTLS is nil when members are connected in plain text.
	UpstreamTLS      *tls.Config
	UpstreamPassword Secret
	// TokenKeys are in the order of the settings: the first one signs.
	TokenKeys []session.Key
}

// LoadFiles reads every file that the settings name. The error joins all failures.
func (s *Settings) LoadFiles() (*Files, error) {
	f := &Files{UpstreamPassword: s.Upstream.Password}
	err := errors.Join(
		f.loadCallerTLS(s),
		f.loadPeerTLS(s),
		f.loadUpstream(s),
		f.loadTokenKeys(s),
	)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Files) loadCallerTLS(s *Settings) error {
	x := s.TLS.Callers
	if x.CertificateFile == "" {
		return nil
	}
	var err error
	f.Callers, err = certs.Load(certs.Files{Certificate: x.CertificateFile, Key: x.KeyFile})
	return wrap(err, "tls.callers")
}

func (f *Files) loadPeerTLS(s *Settings) error {
	x := s.TLS.Peers
	if x.CertificateFile == "" {
		return nil
	}
	var err error
	f.Peers, err = certs.Load(certs.Files{Certificate: x.CertificateFile, Key: x.KeyFile, Roots: x.AuthorityFile})
	return wrap(err, "tls.peers")
}

// wrap adds the path of the setting to an error.
func wrap(err error, path string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, path)
}

func (f *Files) loadUpstream(s *Settings) error {
	if s.Upstream.AuthorityFile != "" {
		pool, err := loadPool(s.Upstream.AuthorityFile)
		if err != nil {
			return errors.Wrap(err, "upstream.authority_file")
		}
		f.UpstreamTLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	if s.Upstream.PasswordFile == "" {
		return nil
	}
	text, err := os.ReadFile(s.Upstream.PasswordFile)
	if err != nil {
		return errors.Wrap(err, "upstream.password_file")
	}
	f.UpstreamPassword = Secret(strings.TrimRight(string(text), "\r\n"))
	return nil
}

func (f *Files) loadTokenKeys(s *Settings) error {
	var failed []error
	for i, k := range s.TokenKeys {
		key, err := k.load()
		if err != nil {
			failed = append(failed, errors.Wrap(err, "token_keys["+itoa(i)+"]"))
			continue
		}
		f.TokenKeys = append(f.TokenKeys, session.Key{ID: k.ID, Secret: key})
	}
	return errors.Join(failed...)
}

func (k *TokenKey) load() ([]byte, error) {
	if k.SecretFile == "" {
		return decodeTokenSecret(string(k.Secret))
	}
	text, err := os.ReadFile(k.SecretFile)
	if err != nil {
		return nil, err
	}
	return decodeTokenSecret(string(text))
}

// decodeTokenSecret decodes base64. Its errors do not repeat the text.
func decodeTokenSecret(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return nil, errors.New("must be base64")
	}
	if len(key) < session.MinKeyBytes {
		return nil, errors.Errorf("has %d bytes after decoding; at least %d are needed", len(key), session.MinKeyBytes)
	}
	return key, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate", path)
	}
	return pool, nil
}

func itoa(i int) string { return strconv.Itoa(i) }
