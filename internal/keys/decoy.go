package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// Decoy generates mock credentials for users that do not exist, like PostgreSQL's mock authentication. A caller that
// probes for user names sees the same exchange, with a stable salt per name, as for an existing user.
type Decoy struct{ secret [sha256.Size]byte }

// NewDecoy returns a decoy with a random secret.
func NewDecoy() *Decoy {
	d := &Decoy{}
	// crypto/rand.Read never returns an error; it crashes the process if the system has no randomness.
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
