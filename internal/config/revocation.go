package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// KeyRef names a customer's key.
type KeyRef struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Revocation is an emergency order to stop accepting a key while the key-value service is down.
type Revocation struct {
	KeyRef
	// Operator gave the order, at UnixMS by the clock of the instance that received it.
	Operator string `json:"operator"`
	UnixMS   int64  `json:"unix_ms"`
}

// maxRevocations bounds the set. It is well above the keys that operators revoke during one outage.
const maxRevocations = 10_000

// revocations is a grow-only set: instances merge it in any order and agree. It is kept until the process ends, also
// after the configuration holds the withdrawal, because peers keep sending it.
type revocations struct {
	all map[KeyRef]Revocation
}

// add merges orders and returns those that were new. For one key the earliest order is kept.
func (s *revocations) add(list []Revocation) []Revocation {
	if s.all == nil {
		s.all = make(map[KeyRef]Revocation)
	}
	var added []Revocation
	for _, r := range list {
		if !ValidName(r.Customer) || !ValidName(r.Key) {
			continue
		}
		old, known := s.all[r.KeyRef]
		if !known && len(s.all) >= maxRevocations {
			continue
		}
		if !known {
			added = append(added, r)
		}
		if !known || r.UnixMS < old.UnixMS {
			s.all[r.KeyRef] = r
		}
	}
	return added
}

// list returns the set in order of customer and key.
func (s *revocations) list() []Revocation {
	return slices.SortedFunc(maps.Values(s.all), func(a, b Revocation) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Key, b.Key))
	})
}

// refs returns a copy of the revoked keys for a snapshot.
func (s *revocations) refs() map[KeyRef]bool {
	out := make(map[KeyRef]bool, len(s.all))
	for ref := range s.all {
		out[ref] = true
	}
	return out
}

// pending returns the orders for keys that the configuration has and does not hold as withdrawn.
func (s *revocations) pending(c *Cluster) []Revocation {
	if len(s.all) == 0 {
		return nil
	}
	valid := make(map[KeyRef]bool)
	for i := range c.Customers {
		for j := range c.Customers[i].Keys {
			k := &c.Customers[i].Keys[j]
			if !k.Withdrawn {
				valid[KeyRef{Customer: c.Customers[i].Name, Key: k.Name}] = true
			}
		}
	}
	var out []Revocation
	for _, r := range s.list() {
		if valid[r.KeyRef] {
			out = append(out, r)
		}
	}
	return out
}

// withdraw marks the keys as withdrawn.
func withdraw(c *Cluster, list []Revocation) {
	wanted := make(map[KeyRef]bool, len(list))
	for _, r := range list {
		wanted[r.KeyRef] = true
	}
	for i := range c.Customers {
		for j := range c.Customers[i].Keys {
			k := &c.Customers[i].Keys[j]
			if wanted[KeyRef{Customer: c.Customers[i].Name, Key: k.Name}] {
				k.Withdrawn = true
			}
		}
	}
}

// operationOf returns the same operation id on every instance that writes the same orders into the store, so that
// only one of them makes a new version.
func operationOf(list []Revocation) string {
	h := sha256.New()
	for _, r := range list {
		h.Write([]byte(r.Customer + "\x00" + r.Key + "\x00"))
	}
	return "revocation-" + hex.EncodeToString(h.Sum(nil)[:12])
}
