// Package entry serves callers: it accepts their connections, authenticates them, keeps their sessions, and passes their
// requests to the homes of the groups.
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
	// DefaultServerVersion is what callers see as the version of the server.
	DefaultServerVersion = "17.0"
	// DefaultMaxMessageBytes bounds the messages of one exchange.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultMaxCallers leaves room above the 8,400 callers that an instance is built for.
	DefaultMaxCallers = 16_384
	// DefaultStartupTimeout bounds TLS, start-up and authentication together.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultRequestTimeout bounds a request of a session that has not set statement_timeout.
	DefaultRequestTimeout = 30 * time.Second
	// DefaultWriteTimeout is how long a caller may take nothing of an answer before the connection is closed, because
	// the answer holds one of the group's few connections.
	DefaultWriteTimeout = 30 * time.Second
)

// Settings configure a Server. Zero values select the defaults.
type Settings struct {
	Instance        instance.ID
	ServerVersion   string
	MaxMessageBytes int
	MaxCallers      int
	// RequireTLS refuses callers who do not ask for TLS.
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

// Classifier describes statement texts. Its only error is that of ctx.
type Classifier interface {
	Classify(ctx context.Context, text []byte) (*classify.Statement, error)
}

// TokenCodec makes and reads the signed tokens that carry a session's floor to another connection.
type TokenCodec interface {
	Encode(customer string, g upstream.GroupID, p position.Position) string
	// Decode returns an error for a token that is not valid for the customer and the group.
	Decode(customer string, g upstream.GroupID, token string) (position.Position, error)
}

// CancelForwarder passes a cancel request for a session of another instance on.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, processID, secret uint32)
}

// Dependencies are the collaborators of a Server. Certificates may be nil, which refuses TLS. Tokens may be nil, which reports and
// accepts no tokens. Forwarder may be nil.
type Dependencies struct {
	Runner       request.Runner
	Classifier   Classifier
	Certificates *certs.Store
	Tokens       TokenCodec
	Forwarder    CancelForwarder
	Log          hclog.Logger
	Metrics      *Metrics
}
