package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/statement"
)

// Guards against priorities of the configuration that do not reach the scheduler.
func TestPrioritiesReachTheScheduler(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	c := newCatalog(5, "orders", "mill", "k1")
	c.Routes["orders"].Priority = 1
	c.Routes["reports"] = &catalog.Route{Group: "g", Priority: 3}
	c.Routes["elsewhere"] = &catalog.Route{Group: "h", Priority: 0}
	g.configure(c)
	is.Equal(g.limits.Priorities, dispatch.Priorities{Highest: 1, Lowest: 3})

	k := testCall(statement.KindRead)
	k.route = c.Routes["orders"]
	k.customer = &catalog.Customer{Name: "mill", Rate: 70, Priority: 2}
	it := g.queueItem(k, epoch)
	is.Equal(it.Priority, 1)
	is.Equal(it.CustomerPriority, 2)
	is.Equal(it.Weight, 70.0)
}

// Guards against refusals whose priority an operator cannot see, and against a metric with as many values as a configuration
// has priorities.
func TestRefusalsShowThePriority(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	var log bytes.Buffer
	g.log = hclog.New(&hclog.LoggerOptions{Output: &log})
	k := testCall(statement.KindRead)
	for priority := range 20 {
		k.route.Priority = priority
		g.refusalResponse(k, dispatch.Refusal{Reason: dispatch.ReasonShed, After: time.Second})
		is.True(strings.Contains(log.String(), fmt.Sprintf("priority=%d ", priority)))
	}
	series := make(chan prometheus.Metric, 20)
	g.o.Metrics.Refusals.Collect(series)
	is.Equal(len(series), maxPriorityLabel+1)
}
