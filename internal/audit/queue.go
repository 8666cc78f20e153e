package audit

import "sync"

// queue holds records that wait for delivery. When it is full the oldest record is dropped and counted.
type queue struct {
	mu      sync.Mutex
	records []Record
	limit   int
	dropped int
}

func (q *queue) add(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) >= q.limit {
		q.records = q.records[1:]
		q.dropped++
	}
	q.records = append(q.records, r)
}

// take removes up to n records from the front.
func (q *queue) take(n int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.records))
	out := append([]Record(nil), q.records[:n]...)
	q.records = q.records[n:]
	return out
}

// takeBytes removes records from the front whose sizes add up to at most limit, and at least one.
func (q *queue) takeBytes(limit int, size func(*Record) int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, sum := 0, 0
	for n < len(q.records) {
		sum += size(&q.records[n])
		if n > 0 && sum > limit {
			break
		}
		n++
	}
	out := append([]Record(nil), q.records[:n]...)
	q.records = q.records[n:]
	return out
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records)
}

// takeDropped returns the number of records dropped since the last call.
func (q *queue) takeDropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.dropped
	q.dropped = 0
	return n
}
