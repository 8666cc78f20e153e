package local

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/settings"
)

// certificateValidity is the life of the certificate, which ends with the process anyway.
const certificateValidity = 7 * 24 * time.Hour

// certificateName is the DNS name in the certificate besides the address 127.0.0.1.
const certificateName = "localhost"

// writeCertificate makes a key and a self-signed certificate in the directory.
func writeCertificate(directory string) (settings.CallerTLS, error) {
	files := settings.CallerTLS{
		CertificateFile: filepath.Join(directory, "callers.pem"),
		KeyFile:         filepath.Join(directory, "callers.key"),
		Required:        true,
	}
	certificate, key, err := selfSigned(time.Now())
	if err != nil {
		return files, errors.Wrap(err, "make certificate")
	}
	if err := writePEM(files.CertificateFile, "CERTIFICATE", certificate); err != nil {
		return files, err
	}
	return files, writePEM(files.KeyFile, "PRIVATE KEY", key)
}

// selfSigned returns a certificate and its private key in DER.
func selfSigned(now time.Time) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "celerystep-local"},
		NotBefore:             now.Add(-time.Minute),
		NotAfter:              now.Add(certificateValidity),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
		DNSNames:              []string{certificateName},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if certificate, err = x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private); err != nil {
		return nil, nil, err
	}
	key, err = x509.MarshalPKCS8PrivateKey(private)
	return certificate, key, err
}

func writePEM(path, kind string, der []byte) error {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return nil
}
