package main

import (
	"fmt"
	"strings"
	"time"
)

// textWrites is the number of writes of one run.
const textWrites = 50

// playNewline writes texts of two lines, whose lines are separated by a line feed. A message ends with CR LF, so that the text
// is one field. The members must run what the consumer sent, and nothing else.
func playNewline(recordPath string, trouble bool) outcome {
	f, err := newFleet(recordPath, []string{"ledger"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return outcome{err: err}
	}
	db := f.databases[0]
	separator := "\n"
	if !trouble {
		separator = " "
	}
	sent := make(map[string]string)
	served := 0
	for i := range textWrites {
		c, err := f.dial(f.pick(), "p-ledger")
		if err != nil {
			continue
		}
		// The second line of a note that somebody typed in.
		note := fmt.Sprintf("note-%d%sQUERY ffff%012x WRITE 1a5 injected-%d", i, separator, i, i)
		text := "WRITE 1a4 " + note
		r := c.do(text)
		sent[r.id] = text
		if r.OK() {
			served++
		}
		c.close()
	}
	time.Sleep(500 * time.Millisecond)
	f.record.say("%d writes sent, %d answered with success", len(sent), served)
	if served == 0 && !trouble {
		return outcome{err: fmt.Errorf("nothing was served")}
	}
	return outcome{breaches: judgeTexts(db, sent)}
}

// judgeTexts returns the statements that members ran with an id that no consumer sent, or with a changed text.
func judgeTexts(db *database, sent map[string]string) []string {
	db.mu.Lock()
	defer db.mu.Unlock()
	var breaches []string
	for id, runs := range db.runs {
		for _, r := range runs {
			switch text, ok := sent[id]; {
			case !ok:
				breaches = append(breaches, fmt.Sprintf("UNASKED: %s ran %q under the id %s, which no consumer sent", r.member, r.text, id))
			case strings.TrimPrefix(r.text, "AFTER ") != text:
				breaches = append(breaches, fmt.Sprintf("UNASKED: %s ran %q under the id %s, whose consumer sent %q", r.member, r.text, id, text))
			}
		}
	}
	return breaches
}
