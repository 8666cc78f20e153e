package settings

import (
	_ "embed" // for the schema
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/jsoncheck"
	"github.com/celerystep/celerystep/internal/session"
)

//go:embed settings.schema.json
var schemaDocument []byte

var schema = jsoncheck.MustCompile("settings.schema.json", schemaDocument)

// SchemaDocument returns the JSON schema of the settings file.
func SchemaDocument() []byte { return append([]byte(nil), schemaDocument...) }

// Parse reads a settings document. Fields that it lacks have their defaults. All mistakes are returned, each with its
// path and line, and the settings are nil when there is one.
func Parse(document []byte) (*Settings, []jsoncheck.Problem) {
	problems, pos := schema.Check(document)
	if len(problems) > 0 {
		return nil, problems
	}
	s := Default()
	if problems := jsoncheck.Decode(document, &s, pos); len(problems) > 0 {
		return nil, problems
	}
	problems = s.check()
	jsoncheck.Locate(problems, pos)
	if len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// Load reads the settings file. The error is a jsoncheck.Problems when the content is wrong.
func Load(path string) (*Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, problems := Parse(document)
	if len(problems) > 0 {
		return nil, jsoncheck.Problems(problems)
	}
	return s, nil
}

// checker collects what the schema cannot express.
type checker struct {
	problems []jsoncheck.Problem
}

func (c *checker) add(path, text string) {
	c.problems = append(c.problems, jsoncheck.Problem{Path: path, Message: text})
}

func (s *Settings) check() []jsoncheck.Problem {
	c := &checker{}
	c.addresses(s)
	c.tls(s)
	c.secrets(s)
	if s.Timeouts.UpstreamKeepAliveAnswer >= s.Timeouts.UpstreamKeepAlive {
		c.add("timeouts.upstream_keepalive_timeout_ms", "must be less than upstream_keepalive_interval_ms")
	}
	return c.problems
}

func (c *checker) addresses(s *Settings) {
	c.address("listen.callers", s.Listen.Callers, false)
	c.address("listen.peers", s.Listen.Peers, false)
	c.address("listen.http", s.Listen.HTTP, false)
	c.address("listen.operators", s.Listen.Operators, false)
	c.address("platform.address", s.Platform.Address, true)
	c.advertised("callers", s.Advertise.Callers, s.Listen.Callers)
	c.advertised("peers", s.Advertise.Peers, s.Listen.Peers)
	c.advertised("operators", s.Advertise.Operators, s.Listen.Operators)
}

// address checks one address; a concrete one can be connected to.
func (c *checker) address(path, value string, concrete bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(path, "must be an IP address and port, for example 10.20.1.11:5432")
		return
	}
	if concrete && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		c.add(path, "must be an address that others can connect to")
	}
}

// advertised checks the address that others use. A listener on all addresses needs an explicit one.
func (c *checker) advertised(field, value, listen string) {
	if value != "" {
		c.address("advertise."+field, value, true)
		return
	}
	if a, err := netip.ParseAddrPort(listen); err == nil && a.Addr().IsUnspecified() {
		c.add("advertise."+field, "is required because listen."+field+" listens on all addresses")
	}
}

func (c *checker) tls(s *Settings) {
	callers := s.TLS.Callers
	if (callers.CertificateFile == "") != (callers.KeyFile == "") {
		c.add("tls.callers", "give both certificate_file and key_file or neither")
	}
	if callers.Required && callers.CertificateFile == "" {
		c.add("tls.callers.required", "needs certificate_file and key_file")
	}
	given := 0
	for _, file := range []string{s.TLS.Peers.CertificateFile, s.TLS.Peers.KeyFile, s.TLS.Peers.AuthorityFile} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		c.add("tls.peers", "give certificate_file, key_file and authority_file together or none of them")
	}
	if given == 0 {
		c.loopback("listen.peers", s.Listen.Peers)
		c.loopback("listen.operators", s.Listen.Operators)
	}
}

// loopback refuses an address that other hosts reach: without mutual TLS anyone could run requests there.
func (c *checker) loopback(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err == nil && !a.Addr().IsLoopback() {
		c.add(path, "must be a loopback address unless tls.peers is given")
	}
}

func (c *checker) secrets(s *Settings) {
	if s.Upstream.Password != "" && s.Upstream.PasswordFile != "" {
		c.add("upstream.password_file", "give either password or password_file")
	}
	seen := make(map[session.KeyID]bool)
	for i, k := range s.TokenKeys {
		path := "token_keys[" + itoa(i) + "]"
		if seen[k.ID] {
			c.add(path+".id", "used by an earlier key")
		}
		seen[k.ID] = true
		if (k.Secret == "") == (k.SecretFile == "") {
			c.add(path, "give either secret or secret_file")
			continue
		}
		if k.Secret == "" {
			continue
		}
		if _, err := decodeTokenSecret(string(k.Secret)); err != nil {
			c.add(path+".secret", err.Error())
		}
	}
}
