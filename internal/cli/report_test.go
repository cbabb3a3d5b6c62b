package cli

import (
	"bytes"
	"strings"
	"testing"

	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

func sampleBurnReport() *burnv1.ReportResponse {
	row := &burnv1.Row{
		Objective: "grade-fast", Route: "grade", Workspace: "<yards>", Kind: "first_token",
		Target: 0.95, BudgetLeft: -0.25, Alert: "ticket", Cause: "queue", Worst: true,
	}
	for range 5 {
		row.Windows = append(row.Windows, &burnv1.Window{Good: 90, Bad: 10, Burn: 2})
	}
	for i := range 60 {
		row.LastHour = append(row.LastHour, float64(i%7)/10-0.1)
	}
	return &burnv1.ReportResponse{
		Time:       1_800_000_000,
		Rows:       []*burnv1.Row{row},
		Latencies:  []*burnv1.Percentiles{{Route: "grade", Kind: "first_token", Count: 100, P50Ms: 120, P95Ms: 700, P99Ms: 900}},
		MissingVms: []string{"vm-9"},
		Coverage:   []*burnv1.Coverage{{Vm: "vm-1", CoveredSeconds: 3600}},
	}
}

// Guards against a page that loads other files, shows names unescaped or omits
// the VMs that did not respond.
func TestBurnPageIsSelfContained(t *testing.T) {
	page, err := renderBurnPage(sampleBurnReport())
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	for _, want := range []string{"<svg", "&lt;yards&gt;", "vm-9", "2.00", "-25.0%", "1h0m0s"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, unwanted := range []string{"<yards>", "<script", "src=", "<link"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page contains %q", unwanted)
		}
	}
}

// Guards against a table that omits alerts, the worst workspace or VMs that did
// not respond.
func TestBurnTableShowsProblems(t *testing.T) {
	var out bytes.Buffer
	printBurn(sampleBurnReport(), &out)
	for _, want := range []string{"ticket", "worst", "queue", "-25.0%", "no answer"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, out.String())
		}
	}
}
