package ctl

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/platform/client"
)

// idleTimeout closes connections to instances between the questions of a long wait.
const idleTimeout = 5 * time.Second

// Connect prepares connections to the key-value service and, with mutual TLS if files are given, to the instances.
func Connect(c Connection) (*Services, error) {
	transport := &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1, Protocols: new(http.Protocols)}
	// The instances speak HTTP/2 only; HTTP/1.1 connections are reset (plaintext) or fail in the handshake (TLS).
	transport.Protocols.SetHTTP2(c.CertificateFile != "")
	transport.Protocols.SetUnencryptedHTTP2(c.CertificateFile == "")
	scheme := "http://"
	if c.CertificateFile != "" {
		store, err := certs.Load(certs.Files{Certificate: c.CertificateFile, Key: c.KeyFile, Roots: c.AuthorityFile})
		if err != nil {
			return nil, errors.Wrap(err, "load the operator's certificate")
		}
		transport.TLSClientConfig = store.ClientConfig()
		scheme = "https://"
	}
	kv := client.New(client.Options{Address: c.Platform})
	return &Services{
		Store:     kv,
		Directory: kv,
		Operators: func(address string) peerv1connect.OperatorServiceClient {
			return peerv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, scheme+address)
		},
		Close: func() {
			transport.CloseIdleConnections()
			kv.Close()
		},
	}, nil
}

// NewOperationID returns a random id.
func NewOperationID() string {
	var p [8]byte
	// The standard library ends the process when the system has no random numbers, so there is no error to handle.
	_, _ = rand.Read(p[:])
	return "op-" + hex.EncodeToString(p[:])
}

// IssueKey returns a new secret with its verifier.
func IssueKey(name string) (string, config.Key, error) {
	secret, key, err := keys.Issue(name)
	return secret.Reveal(), key, err
}
