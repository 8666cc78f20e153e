package report

import (
	"encoding/base64"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/measure"
)

// page is the HTML report.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":     func(d time.Duration) string { return number(milliseconds(d)) },
	"number": number,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>celerystep-load</title>
<style>
body { font: 14px sans-serif; max-width: 64em; margin: 2em auto; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
th, td { border: 1px solid #ccc; padding: 2px 8px; text-align: left; }
td.n { text-align: right; }
.violated { background: #f8d0d0; } .undecided { background: #f8efc8; }
pre { background: #f4f4f4; padding: 1em; overflow-x: auto; }
</style></head><body>
<h1>celerystep-load</h1>
<h2>Summary</h2><pre>{{.Summary}}</pre>
{{range .Runs}}
<h2>{{.R.Deployment}}/{{.R.Experiment}}, mode {{.R.Mode}}, run {{.R.Repeat}}, seed {{.R.Seed}}</h2>
<p>Started {{.R.Started.Format "2006-01-02 15:04:05"}}, fleet {{.R.Fleet}}, generator lag p99 {{ms .R.SelfCheck.LagP99}} ms,
processors {{number .CPUPercent}} % busy, stand-ins p95 {{ms .R.SelfCheck.ServiceExcessP95}} ms over their service time,
timers p99 {{ms .R.SelfCheck.TimerLateP99}} ms late.</p>
{{range .R.SelfCheck.Reasons}}<p class="violated">This run does not count: {{.}}.</p>{{end}}
<table><tr><th>Guarantee</th><th>Checker</th><th>Verdict</th><th>Cases</th><th>Undecided</th><th>Broken</th></tr>
{{range .R.Guarantees}}<tr class="{{.Status}}"><td>{{.Guarantee}}</td><td>{{.Checker}}</td><td>{{.Status}}</td>
<td class="n">{{.Cases}}</td><td class="n">{{.Undecided}}</td><td class="n">{{.Broken}}</td></tr>
{{range .Violations}}<tr><td></td><td colspan="5">{{.At.Format "15:04:05.000000"}} {{.Customer}} {{.Group}} {{.Statements}} {{.Detail}}</td></tr>{{end}}
{{end}}</table>
{{if .R.Marks}}<table><tr><th>At (s)</th><th>Took (ms)</th><th>Action</th><th>Target</th><th>Not carried out</th></tr>
{{range .R.Marks}}<tr><td class="n">{{number .At.Seconds}}</td><td class="n">{{ms .Took}}</td><td>{{.Action}}</td><td>{{.Target}}</td><td>{{.Error}}</td></tr>
{{end}}</table>{{end}}
{{with .R.Measures}}
<table><tr><th>Customer</th><th>Offered</th><th>OK</th><th>Refused</th><th>Failed</th><th>Entitled</th><th>Goodput/allowed</th><th>p50 (ms)</th><th>p99 (ms)</th></tr>
{{range .Customers}}<tr><td>{{.Name}}</td><td class="n">{{.Requests.Offered}}</td><td class="n">{{.Requests.OK}}</td>
<td class="n">{{.Requests.Refused}}</td><td class="n">{{.Requests.Failed}}</td><td class="n">{{.Entitled}}</td>
<td class="n">{{number .GoodputRatio}}</td><td class="n">{{ms .P50}}</td><td class="n">{{ms .P99}}</td></tr>
{{end}}</table>
{{end}}
{{range .Plots}}<p><img src="{{.}}" alt="plot"></p>
{{end}}{{end}}</body></html>
`))

// pageRun is one run with its plots.
type pageRun struct {
	R          *measure.Result
	CPUPercent float64
	Plots      []template.URL
}

// HTML writes a report of all runs with embedded plots.
func HTML(w io.Writer, results []*measure.Result) error {
	var summary strings.Builder
	if err := Summary(&summary, results); err != nil {
		return err
	}
	data := struct {
		Summary string
		Runs    []pageRun
	}{Summary: summary.String()}
	for _, r := range results {
		run := pageRun{R: r, CPUPercent: 100 * r.SelfCheck.CPU}
		if r.Series != nil {
			plots, err := embeddedPlots(r)
			if err != nil {
				return err
			}
			run.Plots = plots
		}
		data.Runs = append(data.Runs, run)
	}
	if err := page.Execute(w, data); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// embeddedPlots returns the run's plots as data URLs.
func embeddedPlots(r *measure.Result) ([]template.URL, error) {
	var urls []template.URL
	for _, c := range charts(r.Series) {
		png, err := c.render(r.Series.Step, r.Marks)
		if err != nil {
			return nil, err
		}
		urls = append(urls, template.URL("data:image/png;base64,"+base64.StdEncoding.EncodeToString(png)))
	}
	return urls, nil
}
