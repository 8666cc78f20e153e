package group

import (
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Outcome says how the transaction of a logged statement ended.
type Outcome string

// Outcomes of a transaction.
const (
	OutcomeOpen       Outcome = "open"
	OutcomeCommitted  Outcome = "committed"
	OutcomeRolledBack Outcome = "rolled_back"
)

// LoggedStatement is a statement that a member started to execute. Statements that were refused before are not logged.
type LoggedStatement struct {
	Time   time.Time         `json:"time"`
	Member upstream.MemberID `json:"member"`
	// Role is what the member believed of itself when the statement started.
	Role upstream.Role `json:"role"`
	// Connection is the process id of the connection, unique within the group.
	Connection uint32 `json:"connection"`
	// Transaction is unique within the member.
	Transaction uint64 `json:"transaction"`
	// Customer is the value of celerystep.customer on the connection.
	Customer string `json:"customer"`
	// Owner and Generation are the claim that the connection was opened under; 0 means none.
	Owner      instance.ID `json:"owner"`
	Generation uint64      `json:"generation"`
	SQL        string      `json:"sql"`
	Args       []any       `json:"args,omitempty"`
	// Wrote is true when the statement changed data or schema.
	Wrote bool `json:"wrote"`
	// State is the SQLSTATE when the statement failed.
	State   string  `json:"state,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Position is the position of the commit when the transaction wrote.
	Position position.Position `json:"position"`
}

// statementLog holds the newest log of a member up to a limit; what comes later is counted only.
type statementLog struct {
	mu      sync.Mutex
	limit   int
	entries []LoggedStatement
	dropped uint64
}

// add appends the statement and returns its index, or -1 when the log is full or off.
func (l *statementLog) add(s LoggedStatement) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit < 0 {
		return -1
	}
	if len(l.entries) >= l.limit {
		l.dropped++
		return -1
	}
	l.entries = append(l.entries, s)
	return len(l.entries) - 1
}

func (l *statementLog) setResult(i int, wrote bool, state string) {
	if i < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[i].Wrote = wrote
	l.entries[i].State = state
}

func (l *statementLog) finish(indices []int, o Outcome, p position.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range indices {
		l.entries[i].Outcome = o
		l.entries[i].Position = p
	}
}

func (l *statementLog) copy() ([]LoggedStatement, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LoggedStatement(nil), l.entries...), l.dropped
}
