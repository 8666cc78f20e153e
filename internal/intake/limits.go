// Package intake bounds what clients can make a process hold: bytes, connections, and the time for which an incomplete message or an
// unread response is kept. It is independent of the wire protocols. Under pressure it closes connections without progress first,
// then the heaviest ones, and never those that hold no more than an ordinary session does.
package intake

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// SocketBufferBytes is the size of the kernel's send and receive buffers of a caller's connection. With a round-trip time of
	// 6 ms it allows about 40 Mbit/s for each session.
	SocketBufferBytes = 32 << 10
	// memoryPerSession is the machine's memory for each session. An idle session takes about 10 KiB of the process, and up to twice
	// SocketBufferBytes of the kernel while it sends ahead; the rest is for the program.
	memoryPerSession = 192 << 10
	// sessionBytes is the memory of an idle session with a full receive buffer.
	sessionBytes = 10<<10 + SocketBufferBytes
	// budgetDivisor is the share of the machine's memory that is reserved for the bytes of clients.
	budgetDivisor = 8
	// minBytes is the smallest usable budget: one message of 1 MiB with its copies.
	minBytes = 4 << 20
	// defaultMemory and defaultDescriptors apply when the size of the machine is unknown.
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
	// reservedDescriptors are set aside for files.
	reservedDescriptors = 200

	// messageGrace is the time for a message that has begun. Afterwards it must have arrived at minMessageRate on average.
	messageGrace   = 30 * time.Second
	minMessageRate = 4 << 10 // bytes a second
	// responseTimeout is the time for which a client may take nothing of a response.
	responseTimeout = 30 * time.Second
)

// Limits bounds what all clients together can make the process hold.
type Limits struct {
	// Bytes bounds the memory for messages and responses that are larger than a session's buffers.
	Bytes int64
	// Sessions bounds the callers' connections, Starting those of them whose start message is not complete.
	Sessions, Starting int
	// PeerConns bounds the connections of other instances, PeerCalls their calls in progress.
	PeerConns, PeerCalls int
	// ProbeConns bounds the connections to each of the readiness and the metrics endpoints.
	ProbeConns int
}

// DefaultLimits returns the limits of a machine; 0 stands for an unknown size.
func DefaultLimits(memoryBytes int64, descriptors int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-reservedDescriptors, 64)
	sessions := max(1, min(sockets/2, int(memoryBytes/memoryPerSession)))
	return Limits{
		Bytes:      max(memoryBytes/budgetDivisor, minBytes),
		Sessions:   sessions,
		Starting:   max(1, sessions/2),
		PeerConns:  sockets / 4,
		PeerCalls:  int(memoryBytes / (64 << 10)),
		ProbeConns: max(2, sockets/32),
	}
}

// CheckBytes returns an error unless the budget can hold a message and leaves the machine room for the program.
func (l Limits) CheckBytes(memoryBytes int64) error {
	if l.Bytes < minBytes {
		return errors.Errorf("%d bytes cannot hold one message of 1 MiB with its copies, which need %d", l.Bytes, minBytes)
	}
	if memoryBytes > 0 && l.Bytes > memoryBytes/4 {
		return errors.Errorf("%d bytes are more than a quarter of the machine's memory", l.Bytes)
	}
	return nil
}

// CheckSessions returns an error unless the machine has the descriptors and the memory for the sessions; 0 stands for an unknown size.
func (l Limits) CheckSessions(memoryBytes int64, descriptors int) error {
	if l.Sessions < 1 || descriptors > 0 && l.Sessions+l.PeerConns+2*l.ProbeConns > descriptors-reservedDescriptors {
		return errors.Errorf("%d sessions do not fit into %d descriptors, of which %d are reserved for files and %d for other connections",
			l.Sessions, descriptors, reservedDescriptors, l.PeerConns+2*l.ProbeConns)
	}
	if memoryBytes > 0 && int64(l.Sessions) > memoryBytes/2/sessionBytes {
		return errors.Errorf("%d sessions, which may take %d bytes each, need more than half of the machine's memory", l.Sessions, sessionBytes)
	}
	return nil
}

// CheckStarting returns an error unless the limit is within that of the sessions.
func (l Limits) CheckStarting() error {
	if l.Starting < 1 || l.Starting > l.Sessions {
		return errors.Errorf("%d must be between 1 and the number of sessions, %d", l.Starting, l.Sessions)
	}
	return nil
}
