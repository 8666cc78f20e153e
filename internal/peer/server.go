package peer

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/certs"
)

const (
	// maxStreams is the maximum number of concurrent streams and calls per connection.
	maxStreams = 1000
	// headerTimeout is the timeout of the TLS handshake and of reading request headers.
	headerTimeout = 2 * time.Second
)

// NewServer returns an HTTP/2 server for the handler. With a store it requires mutual TLS and must be started with
// ServeTLS; without one it uses plaintext HTTP/2, for tests and local trials.
func NewServer(handler http.Handler, store *certs.Store, log hclog.Logger) *http.Server {
	s := &http.Server{
		Handler:           handler,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	if store == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
		return s
	}
	s.Protocols.SetHTTP2(true)
	s.TLSConfig = store.ServerConfig("h2")
	return s
}
