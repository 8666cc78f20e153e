package home

import (
	"strings"
	"testing"

	"github.com/celerystep/celerystep/internal/request"
)

// Guards against a statement that runs without the settings of its session, because a member refuses a setting, or the reset of another
// session's, that it has accepted before.
func TestAStatementWaitsForItsSettings(t *testing.T) {
	for _, refused := range []string{"SET work_mem", "RESET work_mem"} {
		t.Run(refused, func(t *testing.T) {
			simulate(t, nil, func(w *simulatedCluster) {
				m := w.home("h1")
				defer m.Close()
				insert := func(work string) request.Result {
					r := query("s"+work, "INSERT")
					if work != "" {
						r.Parameters = map[string]string{"work_mem": work}
					}
					res, _ := run(m, r)
					return res
				}
				w.is.Equal(insert("1MB").Outcome, request.OutcomeDone) // the setting is accepted
				next := "1MB"
				if strings.HasPrefix(refused, "SET") {
					w.is.Equal(insert("").Outcome, request.OutcomeDone)
				} else {
					next = ""
				}
				w.g.update(func() {
					for _, member := range w.g.members {
						member.fault = func(text string) fakeFault {
							if strings.HasPrefix(text, refused) {
								return faultRefused
							}
							return faultNone
						}
					}
				})
				before := w.g.count("INSERT")
				res := insert(next)
				w.is.Equal(w.g.count("INSERT"), before)
				w.is.Equal(res.Outcome, request.OutcomeNotRun)
			})
		})
	}
}
