package group

import (
	"sync"

	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
)

// writer lets one write transaction at a time run on the working database of a primary. Each term has its own, so that
// a transaction of an older term keeps no lock and cannot commit.
type writer struct {
	// token is held by the session whose write transaction is open. Waiting sessions queue in order.
	token   chan struct{}
	retired chan struct{}
	once    sync.Once
	// db is built by the first holder of the token.
	db *sqldb.Working
}

func newWriter() *writer {
	return &writer{token: make(chan struct{}, 1), retired: make(chan struct{})}
}

// retire wakes waiting sessions and frees the working database, at once or when its holder releases it.
func (w *writer) retire() {
	w.once.Do(func() { close(w.retired) })
	select {
	case w.token <- struct{}{}:
		w.release()
	default:
	}
}

func (w *writer) isRetired() bool {
	select {
	case <-w.retired:
		return true
	default:
		return false
	}
}

// release gives the token back.
func (w *writer) release() {
	if w.isRetired() && w.db != nil {
		_ = w.db.Close()
		w.db = nil
	}
	<-w.token
	if w.isRetired() {
		// Covers a retirement between the check above and the release.
		w.closeUnheld()
	}
}

func (w *writer) closeUnheld() {
	select {
	case w.token <- struct{}{}:
		if w.db != nil {
			_ = w.db.Close()
			w.db = nil
		}
		<-w.token
	default:
	}
}

// prepare builds the working database from the whole log. The caller holds the token.
func (w *writer) prepare(m *member) error {
	if w.db != nil {
		return nil
	}
	m.applyAll()
	db, err := m.database().Working()
	if err != nil {
		return err
	}
	w.db = db
	return nil
}
