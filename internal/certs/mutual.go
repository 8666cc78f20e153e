package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/go-faster/errors"
)

// PeerName is the DNS name that the certificate of every instance of a fleet carries. Instances are reached by IP
// addresses that change, so the name stands for membership in the fleet and not for one machine.
const PeerName = "celerystep-peer"

// ServerConfig returns the configuration of a server that admits only holders of a fleet certificate. Each handshake
// uses the material of that moment.
func (s *Store) ServerConfig(nextProtos ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: nextProtos,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.Current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       nextProtos,
				Certificates:     []tls.Certificate{*m.Certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        m.Roots,
				VerifyConnection: verifyPeer,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for one connection to a peer.
func (s *Store) ClientConfig(nextProtos ...string) *tls.Config {
	m := s.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   nextProtos,
		ServerName:   PeerName,
		RootCAs:      m.Roots,
		Certificates: []tls.Certificate{*m.Certificate},
	}
}

// verifyPeer checks the name in a client's certificate, whose chain is verified already.
func verifyPeer(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	return verifyName(c.PeerCertificates[0])
}

func verifyName(certificate *x509.Certificate) error {
	if err := certificate.VerifyHostname(PeerName); err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	return nil
}
