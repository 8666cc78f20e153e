package group

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
)

// record is one entry of the replicated log: a committed transaction, or the start of a term when it has no statements.
// It is immutable and shared by all members.
type record struct {
	term       position.Term
	statements []sqldb.Statement
	// committed is the time at which the primary wrote the record.
	committed time.Time
}

// logEntry is a record in the log of one member.
type logEntry struct {
	*record
	// received is the time at which the member got the record.
	received time.Time
}

// memberLog is the durable log of a member. The record at LSN n has index n-1.
type memberLog struct {
	entries []logEntry
	history position.History
}

func (l *memberLog) end() position.LSN { return position.LSN(len(l.entries)) }

func (l *memberLog) append(r *record, now time.Time) position.Position {
	if r.term > l.history.LastTerm() {
		// The history is copied, because status reports share it.
		h := append(position.History{}, l.history...)
		l.history = append(h, position.TermStart{Term: r.term, Start: l.end()})
	}
	l.entries = append(l.entries, logEntry{record: r, received: now})
	return position.Position{Term: r.term, LSN: l.end()}
}

// truncate drops the records after LSN keep. Slices taken before stay intact.
func (l *memberLog) truncate(keep position.LSN) {
	l.entries = l.entries[:keep:keep]
	var h position.History
	for _, s := range l.history {
		if s.Start < keep {
			h = append(h, s)
		}
	}
	l.history = h
}

// commonEnd returns the last LSN up to which two logs are equal. Logs that have a record of the same term at the same
// LSN are equal up to there, because one primary wrote all records of a term.
func commonEnd(a, b []logEntry) position.LSN {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return position.LSN(n)
}
