// Package keys issues and verifies customers' keys. A key is a random secret that its holder uses as the password of the
// user "customer.keyname"; celerystep stores only its SCRAM-SHA-256 verifier.
package keys

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/config"
)

const (
	// Iterations is the SCRAM-SHA-256 iteration count of new keys, the minimum of RFC 7677. More iterations would not
	// protect a random 256-bit secret better and would slow down every login.
	Iterations = 4096
	// secretBytes and saltBytes are the sizes of the random parts of a key.
	secretBytes = 32
	saltBytes   = 16
	// secretPrefix marks a key in text, so that secret scanners can detect a leaked key.
	secretPrefix = "csk_"
	// maxNameBytes bounds a key's name; with a customer's name it must fit in a PostgreSQL identifier.
	maxNameBytes = 31
)

// Secret is the text of a key. It is printed and marshaled as a placeholder, so that it cannot leak into a log.
type Secret struct{ text string }

// Reveal returns the key, to be shown once to the operator who issues it.
func (s Secret) Reveal() string { return s.text }

// String hides the key.
func (s Secret) String() string { return "[key]" }

// GoString hides the key.
func (s Secret) GoString() string { return s.String() }

// MarshalText hides the key.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Issue generates a key with the given name and returns it with the verifier to store.
func Issue(name string) (Secret, config.Key, error) {
	if err := CheckName(name); err != nil {
		return Secret{}, config.Key{}, err
	}
	random := make([]byte, secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return Secret{}, config.Key{}, errors.Wrap(err, "read random bytes")
	}
	secret := Secret{text: secretPrefix + base64.RawURLEncoding.EncodeToString(random[:secretBytes])}
	salt := random[secretBytes:]
	c, err := derive(secret.text, salt, Iterations)
	if err != nil {
		return Secret{}, config.Key{}, err
	}
	return secret, config.Key{
		Name:       name,
		Salt:       salt,
		Iterations: Iterations,
		StoredKey:  c.StoredKey,
		ServerKey:  c.ServerKey,
	}, nil
}

// CheckName returns an error unless the name consists of 1 to 31 lower-case letters, digits, "-" and "_".
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Errorf("key name must have 1 to %d bytes", maxNameBytes)
	}
	for _, c := range name {
		letter := 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' || c == '_'
		if !letter {
			return errors.Errorf("key name %q: only lower-case letters, digits, - and _ are allowed", name)
		}
	}
	return nil
}

func derive(secret string, salt []byte, iterations int) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "prepare key")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "derive verifier")
	}
	return c, nil
}

// Verify reports whether the secret matches the verifier. The comparison takes constant time.
func Verify(k *config.Key, secret string) bool {
	c, err := derive(secret, k.Salt, k.Iterations)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(c.StoredKey, k.StoredKey) == 1
}

// Credentials returns the verifier in the form that the SCRAM server uses.
func Credentials(k *config.Key) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(k.Salt), Iters: k.Iterations},
		StoredKey:  k.StoredKey,
		ServerKey:  k.ServerKey,
	}
}

// Find returns the customer and the valid key that a user name identifies. The user is "customer.keyname", or just the
// customer if it has exactly one valid key.
func Find(s *config.Snapshot, user string) (*config.Customer, *config.Key, bool) {
	if c, ok := s.Customer(user); ok {
		k, ok := onlyKey(c)
		return c, k, ok
	}
	dot := strings.LastIndexByte(user, '.')
	if dot < 0 {
		return nil, nil, false
	}
	c, ok := s.Customer(user[:dot])
	if !ok {
		return nil, nil, false
	}
	k, ok := s.Key(c.Name, user[dot+1:])
	return c, k, ok
}

func onlyKey(c *config.Customer) (*config.Key, bool) {
	var found *config.Key
	for i := range c.Keys {
		if c.Keys[i].Withdrawn {
			continue
		}
		if found != nil {
			return nil, false
		}
		found = &c.Keys[i]
	}
	return found, found != nil
}
