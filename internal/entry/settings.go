// Package entry serves the PostgreSQL wire protocol to callers: it accepts and authenticates connections, keeps session
// state, and forwards requests to the home instances of the groups. Package caller does the same for the platform's
// wire protocols, with operations that go to the owners of the groups.
package entry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Defaults of Settings.
const (
	// DefaultServerVersion is the server_version that is reported to callers.
	DefaultServerVersion = "17.0"
	// DefaultMaxMessageBytes bounds the total size of the messages of one exchange.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultMaxCallers leaves headroom above the 8,400 callers that an instance is designed for.
	DefaultMaxCallers = 16_384
	// DefaultStartupTimeout bounds TLS, start-up and authentication together.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultRequestTimeout bounds a request of a session that has not set statement_timeout.
	DefaultRequestTimeout = 30 * time.Second
	// DefaultWriteTimeout is how long a write to a caller that does not read may block before the connection is closed.
	// An unread answer occupies one of the group's few upstream connections.
	DefaultWriteTimeout = 30 * time.Second
)

// Settings configure a Server. Zero values select the defaults.
type Settings struct {
	Instance        instance.ID
	ServerVersion   string
	MaxMessageBytes int
	MaxCallers      int
	// RequireTLS refuses connections without TLS.
	RequireTLS     bool
	StartupTimeout time.Duration
	RequestTimeout time.Duration
	WriteTimeout   time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.ServerVersion == "" {
		s.ServerVersion = DefaultServerVersion
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if s.MaxCallers == 0 {
		s.MaxCallers = DefaultMaxCallers
	}
	if s.StartupTimeout == 0 {
		s.StartupTimeout = DefaultStartupTimeout
	}
	if s.RequestTimeout == 0 {
		s.RequestTimeout = DefaultRequestTimeout
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = DefaultWriteTimeout
	}
	return s
}

// Classifier determines the properties of statement texts. It fails only with the error of ctx.
type Classifier interface {
	Classify(ctx context.Context, text []byte) (*classify.Statement, error)
}

// TokenCodec encodes and verifies the signed tokens that carry a session's floor to another connection.
type TokenCodec interface {
	Encode(customer string, g upstream.GroupID, p position.Position) string
	// Decode returns an error for a token that is not valid for the customer and the group.
	Decode(customer string, g upstream.GroupID, token string) (position.Position, error)
}

// CancelForwarder forwards cancel requests for sessions of other instances.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, processID, secret uint32)
}

// Dependencies are the collaborators of a Server. Without Certificates, TLS is declined; without Tokens, no tokens are
// reported or accepted. Forwarder is optional.
type Dependencies struct {
	Runner       request.Runner
	Classifier   Classifier
	Certificates *certs.Store
	Tokens       TokenCodec
	Forwarder    CancelForwarder
	Log          hclog.Logger
	Metrics      *Metrics
}
