package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Bounds of a token in bytes.
const (
	// MaxNameBytes bounds the group and the customer in a token.
	MaxNameBytes = 128
	// MaxTokenBytes bounds the encoded text. Longer texts are refused before they are decoded.
	MaxTokenBytes = 512
	// MinKeyBytes is the shortest fleet key that NewKeyring accepts.
	MinKeyBytes = 32
)

// tokenVersion is the first byte of a token.
const tokenVersion = 1

// Errors of Keyring.Decode.
var (
	// ErrTokenMalformed reports text that is not a token: too long, not base64url, truncated or with trailing bytes.
	ErrTokenMalformed = errors.New("token is malformed")
	// ErrTokenVersion reports a token of another format version.
	ErrTokenVersion = errors.New("token has an unknown format version")
	// ErrTokenKey reports a token signed with a key that is not, or no longer, in the keyring.
	ErrTokenKey = errors.New("token was signed with an unknown key")
	// ErrTokenSignature reports a token whose signature does not match.
	ErrTokenSignature = errors.New("token signature does not match")
	// ErrTokenCustomer reports a token that was issued to another customer.
	ErrTokenCustomer = errors.New("token belongs to another customer")
	// ErrTokenGroup reports a token for another group.
	ErrTokenGroup = errors.New("token belongs to another group")
)

// KeyID identifies a fleet key.
type KeyID uint32

// Key is a fleet key that signs tokens.
type Key struct {
	ID     KeyID
	Secret []byte
}

// Token is the content of a session token.
type Token struct {
	Group    upstream.GroupID
	Customer string
	Position position.Position
}

// Keyring signs and verifies tokens. It is immutable and safe for concurrent use.
type Keyring struct {
	active Key
	keys   []Key
}

// NewKeyring returns a keyring that signs with the active key and accepts tokens of all keys. A rotation adds the new
// key everywhere, then makes it active, then removes the old key.
func NewKeyring(active KeyID, keys []Key) (*Keyring, error) {
	k := &Keyring{}
	for _, key := range keys {
		if len(key.Secret) < MinKeyBytes {
			return nil, errors.Errorf("fleet key %d: secret has %d bytes, want at least %d", key.ID, len(key.Secret), MinKeyBytes)
		}
		if _, ok := k.key(key.ID); ok {
			return nil, errors.Errorf("fleet key %d: given twice", key.ID)
		}
		k.keys = append(k.keys, Key{ID: key.ID, Secret: slices.Clone(key.Secret)})
	}
	var ok bool
	k.active, ok = k.key(active)
	if !ok {
		return nil, errors.Errorf("fleet key %d: the active key is not in the list", active)
	}
	return k, nil
}

func (k *Keyring) key(id KeyID) (Key, bool) {
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Encode returns the signed text of the token, at most MaxTokenBytes long. It returns an error for names longer than
// MaxNameBytes.
//
// The text is base64url without padding of: version (1 byte), key id, term and LSN (unsigned varints), group and customer
// (each with a length byte), HMAC-SHA-256 of all before it (32 bytes).
func (k *Keyring) Encode(t Token) (string, error) {
	if len(t.Group) > MaxNameBytes || len(t.Customer) > MaxNameBytes {
		return "", errors.Errorf("token: a name is longer than %d bytes", MaxNameBytes)
	}
	var buf [MaxTokenBytes]byte
	b := append(buf[:0], tokenVersion)
	b = binary.AppendUvarint(b, uint64(k.active.ID))
	b = binary.AppendUvarint(b, uint64(t.Position.Term))
	b = binary.AppendUvarint(b, uint64(t.Position.LSN))
	b = appendName(b, string(t.Group))
	b = appendName(b, t.Customer)
	b = append(b, sign(k.active, b)...)
	return base64.RawURLEncoding.EncodeToString(b), nil
}

func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

func sign(k Key, body []byte) []byte {
	mac := hmac.New(sha256.New, k.Secret)
	mac.Write(body)
	return mac.Sum(nil)
}

// Decode verifies the text and returns the token, which must belong to the customer and the group. Beyond the version and
// the key id, no field is parsed before the signature has been verified in constant time.
func (k *Keyring) Decode(text, customer string, g upstream.GroupID) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrTokenMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1+sha256.Size {
		return Token{}, ErrTokenMalformed
	}
	if raw[0] != tokenVersion {
		return Token{}, ErrTokenVersion
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	r := reader{rest: body[1:]}
	id := r.uvarint()
	if r.failed || id > uint64(^KeyID(0)) {
		return Token{}, ErrTokenMalformed
	}
	key, ok := k.key(KeyID(id))
	if !ok {
		return Token{}, ErrTokenKey
	}
	if !hmac.Equal(mac, sign(key, body)) {
		return Token{}, ErrTokenSignature
	}
	t, ok := r.token()
	switch {
	case !ok:
		return Token{}, ErrTokenMalformed
	case t.Customer != customer:
		return Token{}, ErrTokenCustomer
	case t.Group != g:
		return Token{}, ErrTokenGroup
	}
	return t, nil
}

// reader reads the fields of a token; failed is set at the first truncated field.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) name() string {
	if len(r.rest) == 0 || len(r.rest)-1 < int(r.rest[0]) {
		r.failed = true
		return ""
	}
	n := int(r.rest[0])
	name := string(r.rest[1 : 1+n])
	r.rest = r.rest[1+n:]
	return name
}

// token reads the fields after the key id and reports whether they consume the rest exactly.
func (r *reader) token() (Token, bool) {
	var t Token
	t.Position.Term = position.Term(r.uvarint())
	t.Position.LSN = position.LSN(r.uvarint())
	t.Group = upstream.GroupID(r.name())
	t.Customer = r.name()
	return t, !r.failed && len(r.rest) == 0
}
