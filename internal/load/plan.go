// Package load generates open-loop load on a fleet. Arrival times are fixed in advance from a seed, and latency counts
// from the intended arrival, so that a slow answer does not thin out the load (no coordinated omission).
package load

import (
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that JSON files write as text, such as "1.5s".
type Duration time.Duration

// D returns the standard form.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Protocol selects how statements are sent.
type Protocol string

// Protocols. ProtocolPrepared prepares each statement once per connection and executes it by name.
const (
	ProtocolExtended Protocol = "extended"
	ProtocolPrepared Protocol = "prepared"
	// ProtocolSimple puts the values into the text, so that every text is unique.
	ProtocolSimple Protocol = "simple"
)

// Plan is the load of an experiment.
type Plan struct {
	Streams []Stream `json:"streams"`
	Surges  []Surge  `json:"surges,omitempty"`
	// RequestTimeout is how long after its intended arrival a request may still begin, and how long a caller waits for
	// the answer to each statement. It must exceed the fleet's own deadline of waiting requests, so that the fleet
	// answers first.
	RequestTimeout Duration `json:"request_timeout"`
	// IdleClose closes a session's connection after this idle time in the named mode. The baselines need it, because
	// they have fewer connections than there are sessions and bind one to a session for as long as it stays connected.
	IdleClose map[string]Duration `json:"idle_close,omitempty"`
}

// Stream is the work of some sessions of one customer on one database.
type Stream struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Database string `json:"database"`
	// Mix names the kinds of work; see Mixes.
	Mix      string   `json:"mix"`
	Protocol Protocol `json:"protocol,omitempty"`
	Sessions int      `json:"sessions"`
	// Rate is the mean number of requests a second over all sessions; arrivals are a Poisson process.
	Rate float64 `json:"rate"`
	// Rows is the number of rows in each table that the stream works on.
	Rows int `json:"rows"`
	// MaxAge is the data age that the stream's reads declare; 0 means none.
	MaxAge Duration `json:"max_age,omitempty"`
	Burst  *Burst   `json:"burst,omitempty"`
	// RoamEvery is the mean number of requests after which a session reconnects to another instance; 0 means never.
	RoamEvery int `json:"roam_every,omitempty"`
	// Token makes sessions present the token of their last position when they reconnect.
	Token bool `json:"token,omitempty"`
	// KeepKey makes sessions use the key that they started with for ever, also after its withdrawal.
	KeepKey bool `json:"keep_key,omitempty"`
}

// Burst adds Size requests at once, each Every.
type Burst struct {
	Size  int      `json:"size"`
	Every Duration `json:"every"`
}

// Surge multiplies a customer's arrivals for a while.
type Surge struct {
	Customer string   `json:"customer"`
	From     Duration `json:"from"`
	To       Duration `json:"to"`
	Factor   float64  `json:"factor"`
}

// defaultProtocol is used when a stream names none.
const defaultProtocol = ProtocolExtended

// protocol returns the stream's protocol.
func (s *Stream) protocol() Protocol {
	if s.Protocol == "" {
		return defaultProtocol
	}
	return s.Protocol
}

// Validate checks the plan as a whole. Errors carry the JSON path.
func (p *Plan) Validate() error {
	if len(p.Streams) == 0 {
		return errors.New("streams: none given")
	}
	if p.RequestTimeout <= 0 {
		return errors.New("request_timeout: must be positive")
	}
	for i := range p.Streams {
		if err := p.Streams[i].validate(); err != nil {
			return errors.Wrapf(err, "streams[%d] (%s)", i, p.Streams[i].Name)
		}
	}
	for i, s := range p.Surges {
		if s.Factor <= 0 || s.To <= s.From {
			return errors.Errorf("surges[%d]: factor must be positive and to after from", i)
		}
	}
	return nil
}

func (s *Stream) validate() error {
	switch s.protocol() {
	case ProtocolExtended, ProtocolPrepared, ProtocolSimple:
	default:
		return errors.Errorf("protocol: unknown %q", s.Protocol)
	}
	if _, ok := mixes[s.Mix]; !ok {
		return errors.Errorf("mix: unknown %q", s.Mix)
	}
	if s.Customer == "" || s.Database == "" {
		return errors.New("customer, database: must be given")
	}
	if s.Sessions <= 0 || s.Rate <= 0 {
		return errors.New("sessions, rate: must be positive")
	}
	if s.Rows < minRows {
		return errors.Errorf("rows: at least %d are needed", minRows)
	}
	if s.Burst != nil && (s.Burst.Size <= 0 || s.Burst.Every <= 0) {
		return errors.New("burst: size and every must be positive")
	}
	return nil
}

// factor returns by how much the customer's arrivals are multiplied at the offset.
func (p *Plan) factor(customer string, at time.Duration) float64 {
	f := 1.0
	for _, s := range p.Surges {
		if s.Customer == customer && at >= s.From.D() && at < s.To.D() {
			f *= s.Factor
		}
	}
	return f
}
