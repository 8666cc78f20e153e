package fanout

import (
	"time"
)

const (
	// readerRetryDelay is how long a reader that failed is left out.
	readerRetryDelay = 2 * time.Second
	// maxFailures is the number of readers that may fail in a row before an instance turns to the store. More would
	// delay a change for too long, as each failure may take the time of a call.
	maxFailures = 2
	// directSpread bounds the random delay before an instance turns to the store: all of them may have lost their
	// readers at the same moment.
	directSpread = 800 * time.Millisecond
	// directPeriod is how long an instance reads the store itself before it tries the readers again.
	directPeriod = 3 * time.Second
	// storeRetryDelay is how long a reader that failed to read the store asks other readers before it tries again.
	storeRetryDelay = time.Second
	// minStoreBackoff and maxStoreBackoff bound the exponential backoff, before jitter, of an instance that turned to the
	// store because the readers failed, and found that it does not answer either. Without it all instances together call a
	// store that is down several times a second each.
	minStoreBackoff = 400 * time.Millisecond
	maxStoreBackoff = 1600 * time.Millisecond
)

// Target is where an instance reads next.
type Target struct {
	// Reader is the reader to ask; the zero Reader stands for the store.
	Reader Reader
	// Delay is how long to wait before the call.
	Delay time.Duration
	// Fallback is true when the store is read only because the readers failed.
	Fallback bool
}

// Store reports whether the target is the store.
func (t Target) Store() bool { return t.Reader.Address == "" }

// Selector decides where one instance reads. It is not safe for concurrent use.
type Selector struct {
	// Random returns a number in [0, 1).
	Random func() float64

	failedAt map[Reader]time.Time
	// failures counts the failed calls since the last successful one.
	failures      int
	directUntil   time.Time
	storeFailedAt time.Time
	// storeBackoff is the backoff after the last failed call of the fallback, which ends at storeRetryAt.
	storeBackoff time.Duration
	storeRetryAt time.Time
}

// Route is the choice of readers as one instance sees it.
type Route struct {
	// Readers holds the other readers in the order in which the instance asks them. Without any it reads the store.
	Readers []Reader
	// Reads is true when the instance is a reader itself. It then asks others only after the store has failed.
	Reads bool
}

// Next returns where to read.
func (s *Selector) Next(route Route, now time.Time) Target {
	ordered := route.Readers
	switch {
	case len(ordered) == 0:
		return Target{}
	case route.Reads && now.Sub(s.storeFailedAt) >= storeRetryDelay:
		return Target{}
	}
	if now.Before(s.directUntil) {
		// The call that chose the fallback may have been given up during its delay.
		return Target{Delay: max(0, s.storeRetryAt.Sub(now)), Fallback: true}
	}
	if s.failures < maxFailures || now.Before(s.storeRetryAt) {
		if r, ok := s.available(ordered, now); ok {
			return Target{Reader: r}
		}
	}
	s.failures = 0
	if route.Reads {
		return Target{Fallback: true}
	}
	delay := s.storeRetryAt.Sub(now)
	if delay <= 0 {
		delay = time.Duration(s.Random() * float64(directSpread))
	}
	s.directUntil = now.Add(delay + directPeriod)
	return Target{Delay: delay, Fallback: true}
}

// available returns the first reader that has not failed recently.
func (s *Selector) available(ordered []Reader, now time.Time) (Reader, bool) {
	for _, r := range ordered {
		if at, failed := s.failedAt[r]; !failed || now.Sub(at) >= readerRetryDelay {
			return r, true
		}
	}
	return Reader{}, false
}

// Failed records that a call to a reader failed, was refused or returned content that is too old.
func (s *Selector) Failed(r Reader, now time.Time) {
	if s.failedAt == nil {
		s.failedAt = make(map[Reader]time.Time)
	}
	for known, at := range s.failedAt {
		if now.Sub(at) >= readerRetryDelay {
			delete(s.failedAt, known)
		}
	}
	s.failedAt[r] = now
	s.failures++
}

// StoreFailed records that the store did not answer. An instance that read it only because the readers failed waits before
// it turns to the store again; a reader does not, because others wait for it.
func (s *Selector) StoreFailed(fallback bool, now time.Time) {
	s.storeFailedAt = now
	if !fallback {
		return
	}
	s.directUntil = time.Time{}
	s.storeBackoff = min(max(2*s.storeBackoff, minStoreBackoff), maxStoreBackoff)
	s.storeRetryAt = now.Add(s.storeBackoff/2 + time.Duration(s.Random()*float64(s.storeBackoff)))
}

// StoreSucceeded records an answer of the store.
func (s *Selector) StoreSucceeded() { s.storeBackoff, s.storeRetryAt = 0, time.Time{} }

// Succeeded records an answer of a reader.
func (s *Selector) Succeeded(r Reader) {
	delete(s.failedAt, r)
	s.failures = 0
	s.storeBackoff, s.storeRetryAt = 0, time.Time{}
}
