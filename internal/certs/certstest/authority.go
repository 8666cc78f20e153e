// Package certstest issues short-lived certificates for tests and for local trials.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// validity is the life of the certificates.
const validity = 24 * time.Hour

// Fataler is the part of testing.TB that Authority needs.
type Fataler interface {
	Helper()
	Fatal(args ...any)
}

// Authority issues certificates.
type Authority struct {
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	der    []byte
	serial int64
}

// New makes an authority with a new key.
func New(t Fataler) *Authority {
	t.Helper()
	a := &Authority{serial: 1, key: newKey(t)}
	template := a.template("celerystep test authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.der = der
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// Issue returns a certificate for the DNS name and 127.0.0.1, its key, and the authority's certificate, in PEM.
func (a *Authority) Issue(t Fataler, name string) (certificate, key, roots []byte) {
	t.Helper()
	private := newKey(t)
	template := a.template(name)
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", keyDER), encode("CERTIFICATE", a.der)
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func newKey(t Fataler) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
