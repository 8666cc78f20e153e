package pgport

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/upstream"
)

func decodeStatus[T string | []byte](text T) (upstream.MemberStatus, error) {
	var s upstream.MemberStatus
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return upstream.MemberStatus{}, errors.Wrap(err, "decode status")
	}
	return s, nil
}

// read handles the messages of a status connection until it ends.
func (s *statusConn) read() {
	var a answer
	for {
		p, err := s.conn.Receive()
		if err != nil {
			s.fail(err)
			return
		}
		s.heard()
		done, err := s.handle(p, &a)
		if err != nil {
			s.fail(err)
			return
		}
		if done {
			s.answers <- a
			a = answer{}
		}
	}
}

func (s *statusConn) heard() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
}

// handle adds a message to the answer and reports whether the answer is complete. An error ends the connection.
func (s *statusConn) handle(p []byte, a *answer) (done bool, err error) {
	body := p[headerBytes:]
	switch p[0] {
	case 'A':
		return false, s.notify(body)
	case 'D':
		var m pgproto3.DataRow
		if err := m.Decode(body); err != nil {
			return false, errors.Wrap(err, "decode row")
		}
		if len(m.Values) > 0 {
			a.text = string(m.Values[0])
		}
	case 'E':
		a.err = serverError(body)
		var e *ServerError
		if errors.As(a.err, &e) && e.Severity == "FATAL" {
			return false, a.err
		}
	case 'Z':
		return true, nil
	}
	return false, nil
}

// notify passes a report to the watchers. A watcher that has not taken the one before gets the later one only.
func (s *statusConn) notify(body []byte) error {
	var m pgproto3.NotificationResponse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(err, "decode report")
	}
	status, err := decodeStatus(m.Payload)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		select {
		case <-w.latest:
		default:
		}
		// The reader is the only sender, so there is room now.
		w.latest <- status
	}
	return nil
}
