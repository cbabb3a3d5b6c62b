package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

func addReportBurn(r *registry) {
	c := reportGroup(r).Command("burn", "Shows how fast the error budgets are used up.")
	example(c, "Merges the counters of all VMs. Exit code 4 means that a VM did not answer.",
		"cuminwing report burn --server 10.0.0.1:7005 --html burn.html")
	file := c.Flag("html", "Write the report as one HTML page.").PlaceHolder("FILE").String()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.reportBurn(*file, out) }))
}

func (c *client) reportBurn(file string, out io.Writer) (int, error) {
	report, err := c.fetchBurn()
	if err != nil {
		return ExitFailed, err
	}
	code := ExitOK
	if len(report.GetMissingVms()) > 0 {
		code = ExitPartial
	}
	if file != "" {
		return code, writeBurnPage(file, report)
	}
	if c.output == outputJSON {
		return code, printMessage(out, report)
	}
	printBurn(report, out)
	return code, nil
}

// fetchBurn queries the VMs in turn and returns the first report it receives.
func (c *client) fetchBurn() (*burnv1.ReportResponse, error) {
	var failures error
	for _, address := range c.addresses {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		service := burnv1.NewBurnServiceProtobufClient("http://"+address, http.DefaultClient)
		report, err := service.Report(ctx, &burnv1.ReportRequest{})
		cancel()
		if err == nil {
			return report, nil
		}
		failures = errors.Join(failures, fmt.Errorf("VM at %s: %w", address, err))
	}
	return nil, failures
}

func printBurn(report *burnv1.ReportResponse, out io.Writer) {
	t := newTable(out, "OBJECTIVE", "WORKSPACE", "TARGET", "5 MIN", "30 MIN", "1 H", "6 H", "3 D", "BUDGET LEFT", "ALERT", "CAUSE", "WORST")
	for _, r := range report.GetRows() {
		cells := []string{r.GetObjective(), r.GetWorkspace(), percent(r.GetTarget())}
		for _, w := range r.GetWindows() {
			cells = append(cells, fmt.Sprintf("%.2f", w.GetBurn()))
		}
		worst := ""
		if r.GetWorst() {
			worst = "worst"
		}
		t.row(append(cells, percent(r.GetBudgetLeft()), r.GetAlert(), r.GetCause(), worst)...)
	}
	t.flush()
	fmt.Fprintln(out)
	l := newTable(out, "ROUTE", "LATENCY", "COUNT", "P50", "P95", "P99")
	for _, p := range report.GetLatencies() {
		l.row(p.GetRoute(), p.GetKind(), fmt.Sprint(p.GetCount()),
			fmt.Sprintf("%.1f ms", p.GetP50Ms()), fmt.Sprintf("%.1f ms", p.GetP95Ms()), fmt.Sprintf("%.1f ms", p.GetP99Ms()))
	}
	l.flush()
	printCoverage(report, out)
}

func printCoverage(report *burnv1.ReportResponse, out io.Writer) {
	fmt.Fprintln(out)
	t := newTable(out, "VM", "COUNTERS COVER")
	for _, c := range report.GetCoverage() {
		t.row(c.GetVm(), (time.Duration(c.GetCoveredSeconds()) * time.Second).String())
	}
	for _, vm := range report.GetMissingVms() {
		t.row(vm, "no answer")
	}
	t.flush()
}

func writeBurnPage(file string, report *burnv1.ReportResponse) error {
	page, err := renderBurnPage(report)
	if err != nil {
		return err
	}
	return os.WriteFile(file, page, 0o644)
}
