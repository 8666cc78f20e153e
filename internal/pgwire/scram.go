package pgwire

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// mechanism is the only authentication mechanism that is offered.
const mechanism = "SCRAM-SHA-256"

// maxAuthBytes bounds an authentication message.
const maxAuthBytes = 4 << 10

// ErrWrongKey reports a caller who does not have the key.
var ErrWrongKey = errors.New("wrong key")

// Authenticate checks with SCRAM-SHA-256 that the caller has the key behind the credentials. It returns ErrWrongKey when
// not, and other errors for a broken exchange.
func Authenticate(r *Reader, w io.Writer, c scram.StoredCredentials) error {
	r.SetLimit(maxAuthBytes)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return c, nil })
	if err != nil {
		return errors.Wrap(err, "prepare authentication")
	}
	conversation := server.NewConversation()
	if err := send(w, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	first, err := readInitial(r)
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return errors.Wrap(ErrMalformed, "first authentication message")
	}
	if err := send(w, &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	body, err := readPassword(r)
	if err != nil {
		return err
	}
	proof := string(body)
	r.Release()
	final, err := conversation.Step(proof)
	if err != nil || !conversation.Valid() {
		return ErrWrongKey
	}
	return send(w, &pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
}

// readInitial returns the first message of the SCRAM exchange.
func readInitial(r *Reader) (string, error) {
	body, err := readPassword(r)
	if err != nil {
		return "", err
	}
	defer r.Release()
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil {
		return "", errors.Wrap(ErrMalformed, "authentication message")
	}
	if initial.AuthMechanism != mechanism {
		return "", errors.Wrap(ErrMalformed, "authentication mechanism was not offered")
	}
	return string(initial.Data), nil
}

func readPassword(r *Reader) ([]byte, error) {
	kind, body, err := r.Next()
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, errors.Wrapf(ErrMalformed, "message %q during authentication", kind)
	}
	return body, nil
}

func send(w io.Writer, m pgproto3.BackendMessage) error {
	_, err := w.Write(Append(nil, m))
	return err
}
