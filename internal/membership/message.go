package membership

import (
	"math/bits"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// Message carries updates and, in an exchange, a digest of the sender's state.
type Message struct {
	From        instance.ID
	Members     []Member
	Homes       []Home
	Config      ConfigVersion
	Revocations []Revocation
	// StoreAge is the time since the key-value service is known to have answered any instance; 0 if unknown.
	StoreAge time.Duration
	Digest   *Digest
}

// Digest summarizes a state, or the recent updates if Salt is not 0. Its fields correspond to the protocol message of
// the same name.
type Digest struct {
	Root    uint64
	Buckets []uint64
	Wanted  []uint32
	Joined  bool
	Recent  []byte
	Salt    uint32
}

// Size returns the encoded size of the message in bytes. The encoding is in package gossip.
func (m *Message) Size() int {
	n := stringSize(len(m.From))
	for i := range m.Members {
		n += nestedSize(m.Members[i].size())
	}
	for i := range m.Homes {
		n += nestedSize(m.Homes[i].size())
	}
	if m.Config.Version > 0 {
		n += nestedSize(m.Config.size())
	}
	for i := range m.Revocations {
		n += nestedSize(m.Revocations[i].size())
	}
	n += uintSize(uint64(m.StoreAge.Milliseconds()))
	if m.Digest != nil {
		n += nestedSize(m.Digest.size())
	}
	return n
}

func (m *Member) size() int {
	n := stringSize(len(m.ID)) + uintSize(uint64(m.State)) + uintSize(m.Incarnation)
	if m.HasAddress() {
		n += stringSize(len(m.Info.FailureDomain))
		n += stringSize(len(m.Info.PeerAddress))
		n += stringSize(len(m.Info.CallerAddress))
		if m.InfoIncarnation != m.Incarnation {
			n += uintSize(m.InfoIncarnation)
		}
	}
	return n
}

func (h *Home) size() int {
	n := stringSize(len(h.Group)) + stringSize(len(h.Owner)) + uintSize(h.Generation)
	n += stringSize(len(h.Primary)) + uintSize(uint64(h.Term))
	if h.Released {
		n += 2
	}
	return n
}

func (c *ConfigVersion) size() int {
	return uintSize(c.Version) + stringSize(len(c.OperationID)) + stringSize(len(c.Root))
}

func (r *Revocation) size() int {
	return stringSize(len(r.Customer)) + stringSize(len(r.Key)) + stringSize(len(r.Operator)) +
		uintSize(uint64(r.UnixMilli))
}

func (d *Digest) size() int {
	n := 0
	if d.Root != 0 {
		n += 9
	}
	if len(d.Buckets) > 0 {
		n += nestedSize(8 * len(d.Buckets))
	}
	if len(d.Wanted) > 0 {
		packed := 0
		for _, w := range d.Wanted {
			packed += varintSize(uint64(w))
		}
		n += nestedSize(packed)
	}
	if d.Joined {
		n += 2
	}
	n += stringSize(len(d.Recent))
	if d.Salt != 0 {
		n += 5
	}
	return n
}

// stringSize returns the size of a string field; empty strings are omitted.
func stringSize(length int) int {
	if length == 0 {
		return 0
	}
	return nestedSize(length)
}

// nestedSize returns the size of a length-delimited field including its tag.
func nestedSize(length int) int { return 1 + varintSize(uint64(length)) + length }

// uintSize returns the size of a varint field; zero values are omitted.
func uintSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + varintSize(v)
}

func varintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
