package group

import (
	"encoding/json"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/upstream"
)

// statusChannel is the channel of the status stream.
const statusChannel = "group_status"

// statusStream sends the member's status to one connection, on each change and at least every statusInterval.
type statusStream struct{ stopped chan struct{} }

func (t *statusStream) stop() { close(t.stopped) }

func (s *session) listen(channel string) error {
	if channel != statusChannel {
		return errorf(stateNotSupported, "channel %q is not supported", channel)
	}
	if s.stream == nil {
		s.stream = &statusStream{stopped: make(chan struct{})}
		stream := s.stream
		s.m.group.wg.Go(func() { s.streamStatus(stream) })
	}
	return nil
}

func (s *session) unlisten() {
	if s.stream != nil {
		s.stream.stop()
		s.stream = nil
	}
}

func (s *session) streamStatus(t *statusStream) {
	timer := time.NewTimer(statusInterval)
	defer timer.Stop()
	for {
		if !s.m.frozen.pass(s.done) {
			return
		}
		changed := s.m.changed.wait()
		if s.writeStatus() != nil {
			return
		}
		if !t.pause(s, timer, statusCoalescing, nil) || !t.pause(s, timer, statusInterval, changed) {
			return
		}
	}
}

// pause waits for the time to pass or for the change and returns false at the end of the stream.
func (t *statusStream) pause(s *session, timer *time.Timer, d time.Duration, changed <-chan struct{}) bool {
	timer.Reset(d)
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-t.stopped:
		return false
	case <-s.done:
		return false
	}
}

func (s *session) writeStatus() error {
	b, err := encodeStatus(s.m.status())
	if err != nil {
		return err
	}
	n := &pgproto3.NotificationResponse{PID: s.pid, Channel: statusChannel, Payload: b}
	out, err := n.Encode(nil)
	if err != nil {
		return err
	}
	return s.write(out)
}

func encodeStatus(st upstream.MemberStatus) (string, error) {
	b, err := json.Marshal(st)
	return string(b), err
}
