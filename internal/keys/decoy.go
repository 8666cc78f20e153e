package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// Decoy makes credentials for users that do not exist. A caller who probes for names sees the same exchange, and the
// same salt on each try, as for a user that exists.
type Decoy struct{ secret [sha256.Size]byte }

// NewDecoy returns a decoy with a random secret.
func NewDecoy() *Decoy {
	d := &Decoy{}
	// The standard library ends the process when the system has no random numbers, so there is no error to handle.
	_, _ = rand.Read(d.secret[:])
	return d
}

// Credentials returns credentials that no key matches.
func (d *Decoy) Credentials(user string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(d.mac("salt", user)[:saltBytes]), Iters: Iterations},
		StoredKey:  d.mac("stored", user),
		ServerKey:  d.mac("server", user),
	}
}

func (d *Decoy) mac(purpose, user string) []byte {
	m := hmac.New(sha256.New, d.secret[:])
	m.Write([]byte(purpose))
	m.Write([]byte{0})
	m.Write([]byte(user))
	return m.Sum(nil)
}
