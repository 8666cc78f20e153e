package local

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/pagetest"
)

const moduleRoot = "../.."

var (
	metricName  = regexp.MustCompile(`\bcelerystep_[a-z_]+\b`)
	describedAs = regexp.MustCompile(`fqName: "([^"]+)"`)
	runbook     = regexp.MustCompile(`runbook: (\S+)`)
)

// Guards against alerts, panels and pages for metrics that no daemon has: they would stay silent for ever.
func TestMetricsExist(t *testing.T) {
	is := is.New(t)
	w := start(t)
	known := registered(w.Fleet().Registries()[0])
	is.True(len(known) > 20)
	places := pagetest.Pages(t, moduleRoot)
	for _, name := range []string{"deploy/alerts.yaml", "deploy/dashboard.json"} {
		text, err := os.ReadFile(filepath.Join(moduleRoot, name))
		is.NoErr(err)
		places[name] = string(text)
	}
	is.True(json.Valid([]byte(places["deploy/dashboard.json"])))
	found := 0
	for place, text := range places {
		for _, name := range metricName.FindAllString(text, -1) {
			found++
			if !known[name] {
				t.Errorf("%s names %s, which no daemon registers", place, name)
			}
		}
	}
	is.True(found > 30)
}

// registered returns the names that appear in queries, with the series of histograms.
func registered(r *prometheus.Registry) map[string]bool {
	names := make(map[string]bool)
	described := make(chan *prometheus.Desc)
	go func() {
		defer close(described)
		r.Describe(described)
	}()
	for d := range described {
		name := describedAs.FindStringSubmatch(d.String())[1]
		names[name] = true
		if strings.HasSuffix(name, "_seconds") {
			for _, suffix := range []string{"_bucket", "_sum", "_count"} {
				names[name+suffix] = true
			}
		}
	}
	return names
}

// Guards against an alert without a page.
func TestAlertsHavePages(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join(moduleRoot, "deploy/alerts.yaml"))
	is.NoErr(err)
	index, err := os.ReadFile(filepath.Join(moduleRoot, "docs/operations/README.md"))
	is.NoErr(err)
	pages := runbook.FindAllStringSubmatch(string(text), -1)
	is.Equal(len(pages), strings.Count(string(text), "- alert: "))
	for _, m := range pages {
		_, err := os.Stat(filepath.Join(moduleRoot, m[1]))
		is.NoErr(err)
		is.True(strings.Contains(string(index), "("+filepath.Base(m[1])+")"))
	}
}
