// Package settings reads the JSON settings file of one celerystepd process. What concerns the whole fleet is in
// package config instead.
package settings

import (
	"encoding/json"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/session"
)

// Milliseconds is a duration in a settings file.
type Milliseconds int64

// Duration converts to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Secret is a value that formats as "redacted" in logs, errors and JSON output.
type Secret string

const redacted = "redacted"

// String hides the value.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// GoString hides the value from %#v.
func (s Secret) GoString() string { return s.String() }

// MarshalJSON hides the value.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Settings is the content of the settings file. Fields without a default in their comment are required.
type Settings struct {
	// InstanceID is unique in the fleet.
	InstanceID instance.ID `json:"instance_id"`
	// InstanceNumber goes into the process id of cancel keys, 1 to 65535 and unique in the fleet. Default 0: taken
	// from a hash of InstanceID, which two instances of a large fleet may share.
	InstanceNumber int `json:"instance_number"`
	// FailureDomain and Region say where the process runs.
	FailureDomain instance.FailureDomain `json:"failure_domain"`
	Region        string                 `json:"region"`
	Listen        Listen                 `json:"listen"`
	Advertise     Advertise              `json:"advertise"`
	TLS           TLS                    `json:"tls"`
	Upstream      Upstream               `json:"upstream"`
	// TokenKeys are the fleet's keys for session tokens. The first one signs, all verify. Every instance needs the
	// same keys: a new one is added at the end on all instances before it is moved to the front. Default: none, and no
	// tokens are given out.
	TokenKeys []TokenKey `json:"token_keys"`
	Platform  Platform   `json:"platform"`
	Timeouts  Timeouts   `json:"timeouts"`
	Limits    Limits     `json:"limits"`
	Log       Log        `json:"log"`
}

// Listen holds the IP addresses and ports to listen on.
type Listen struct {
	// Callers serves the PostgreSQL protocol. Default 127.0.0.1:5432.
	Callers string `json:"callers"`
	// Peers serves the other instances. Default 127.0.0.1:7401.
	Peers string `json:"peers"`
	// HTTP serves metrics and health. Default 127.0.0.1:7402.
	HTTP string `json:"http"`
	// Operators serves celerystepctl. Default 127.0.0.1:7403.
	Operators string `json:"operators"`
}

// Advertise holds the addresses that others use to reach the process when they differ from Listen. Default: empty,
// which means the address of Listen.
type Advertise struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// TLS holds the files for encrypted connections, in PEM format.
type TLS struct {
	// Callers is the server side towards callers. Default: no files, plain connections only.
	Callers CallerTLS `json:"callers"`
	// Peers secures the addresses for peers and operators in both directions. Default: no files, which is accepted
	// only on loopback addresses.
	Peers PeerTLS `json:"peers"`
}

// CallerTLS holds the files for callers' connections.
type CallerTLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// Required refuses callers that do not encrypt. Default false.
	Required bool `json:"required"`
}

// PeerTLS holds the files for mutual TLS.
type PeerTLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile holds the certificates that sign the instances' and operators' certificates.
	AuthorityFile string `json:"authority_file"`
}

// Upstream holds the credentials towards database groups. Either Password or PasswordFile may be given.
type Upstream struct {
	User         string `json:"user"`
	Password     Secret `json:"password"`
	PasswordFile string `json:"password_file"`
	// AuthorityFile turns TLS on towards members and verifies their certificates. Default: empty, plain connections.
	AuthorityFile string `json:"authority_file"`
}

// TokenKey is one key for session tokens. Exactly one of Secret and SecretFile is given: at least 32 bytes in base64.
type TokenKey struct {
	// ID is carried by the tokens, 1 to 4294967295.
	ID         session.KeyID `json:"id"`
	Secret     Secret        `json:"secret"`
	SecretFile string        `json:"secret_file"`
}

// Platform says how to reach the key-value service.
type Platform struct {
	// Address is an IP address and port.
	Address string `json:"address"`
}

// Timeouts holds durations in milliseconds.
type Timeouts struct {
	// Drain bounds the graceful shutdown. Default 30000.
	Drain Milliseconds `json:"drain_timeout_ms"`
	// Request bounds queueing and execution of a request that states no deadline. Default 5000.
	Request Milliseconds `json:"request_timeout_ms"`
	// Login bounds a caller's start-up and authentication. Default 10000.
	Login Milliseconds `json:"login_timeout_ms"`
	// IdleCaller closes a caller that sends nothing outside a transaction. Default 0: never.
	IdleCaller Milliseconds `json:"idle_caller_timeout_ms"`
	// IdleTransaction rolls back a transaction whose caller sends nothing. Default 60000.
	IdleTransaction Milliseconds `json:"idle_transaction_timeout_ms"`
	// UpstreamDial bounds the set-up of a connection to a member. Default 1000.
	UpstreamDial Milliseconds `json:"upstream_dial_timeout_ms"`
	// UpstreamAnswer bounds each answer of a member. Default 30000.
	UpstreamAnswer Milliseconds `json:"upstream_answer_timeout_ms"`
	// UpstreamKeepAlive is the interval of probes on idle upstream connections. Default 5000.
	UpstreamKeepAlive Milliseconds `json:"upstream_keepalive_interval_ms"`
	// UpstreamKeepAliveAnswer bounds the answer to such a probe. Default 1000.
	UpstreamKeepAliveAnswer Milliseconds `json:"upstream_keepalive_timeout_ms"`
	// PeerCall bounds a call to another instance. Default 1000.
	PeerCall Milliseconds `json:"peer_call_timeout_ms"`
	// PeerIdle closes a peer link that carries nothing. Default 60000.
	PeerIdle Milliseconds `json:"peer_idle_timeout_ms"`
	// PlatformCall bounds a call to the key-value service. Default 2000.
	PlatformCall Milliseconds `json:"platform_call_timeout_ms"`
}

// Limits holds the bounds of one process.
type Limits struct {
	// MaxMessageBytes bounds one message of a caller. Default 16777216.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// MaxAnswerBufferBytes bounds the answer bytes held for one slow caller. Default 1048576.
	MaxAnswerBufferBytes int64 `json:"max_answer_buffer_bytes"`
	// MaxCallers bounds the callers' connections. Default 10000.
	MaxCallers int `json:"max_callers"`
	// MaxWaiting bounds the waiting requests per customer and group at a home. Default 1000.
	MaxWaiting int `json:"max_waiting_per_customer"`
	// MaxPrepared bounds the prepared statements of a session. Default 1000.
	MaxPrepared int `json:"max_prepared_per_session"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is one of trace, debug, info, warn and error. Default info.
	Level string `json:"level"`
}

// Default returns the settings before the file is read.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:5432",
			Peers:     "127.0.0.1:7401",
			HTTP:      "127.0.0.1:7402",
			Operators: "127.0.0.1:7403",
		},
		TokenKeys: []TokenKey{},
		Timeouts: Timeouts{
			Drain:                   30_000,
			Request:                 5_000,
			Login:                   10_000,
			IdleTransaction:         60_000,
			UpstreamDial:            1_000,
			UpstreamAnswer:          30_000,
			UpstreamKeepAlive:       5_000,
			UpstreamKeepAliveAnswer: 1_000,
			PeerCall:                1_000,
			PeerIdle:                60_000,
			PlatformCall:            2_000,
		},
		Limits: Limits{
			MaxMessageBytes:      16 << 20,
			MaxAnswerBufferBytes: 1 << 20,
			MaxCallers:           10_000,
			MaxWaiting:           1_000,
			MaxPrepared:          1_000,
		},
		Log: Log{Level: "info"},
	}
}

// Info returns what other instances need to reach the process.
func (s *Settings) Info() instance.Info {
	return instance.Info{
		ID:            s.InstanceID,
		FailureDomain: s.FailureDomain,
		PeerAddress:   firstOf(s.Advertise.Peers, s.Listen.Peers),
		CallerAddress: firstOf(s.Advertise.Callers, s.Listen.Callers),
	}
}

// OperatorAddress returns the address that celerystepctl uses.
func (s *Settings) OperatorAddress() string {
	return firstOf(s.Advertise.Operators, s.Listen.Operators)
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
