package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// reportGroup returns the parent of the report commands and creates it on first
// use.
func reportGroup(r *registry) *kingpin.CmdClause {
	if r.reports == nil {
		r.reports = r.app.Command("report", "Reports on the service.")
	}
	return r.reports
}

func addReportUsage(r *registry) {
	c := reportGroup(r).Command("usage", "Shows the billed tokens per workspace, model and hour.")
	example(c, "Shows what was billed. Hours older than 3 days are merged into days (UTC).",
		"cuminwing report usage --since 24h --workspace yards --server 10.0.0.1:7005")
	since := c.Flag("since", "How far to look back.").Default("24h").Duration()
	workspace := c.Flag("workspace", "Show only this workspace.").String()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) {
		from := time.Now().Add(-*since).Unix() / int64(time.Hour/time.Second)
		return cl.reportUsage(r.flags.servers, &usagev1.Query{FromHour: from, Workspace: *workspace}, out)
	}))
}

func (c *client) reportUsage(servers string, query *usagev1.Query, out io.Writer) (int, error) {
	resp, err := fetchUsage(servers, query)
	if err != nil {
		return ExitFailed, err
	}
	if c.output == outputJSON {
		return ExitOK, printMessage(out, resp)
	}
	t := newTable(out, "WORKSPACE", "MODEL", "FROM", "HOURS", "REQUESTS", "PROMPT", "COMPLETION", "WASTED")
	for _, s := range resp.GetTotals() {
		from := time.Unix(s.GetHour()*int64(time.Hour/time.Second), 0).UTC().Format("2006-01-02T15:04Z")
		t.row(s.GetWorkspace(), s.GetModel(), from, fmt.Sprint(s.GetHours()), fmt.Sprint(s.GetRequests()),
			fmt.Sprint(s.GetPromptTokens()), fmt.Sprint(s.GetCompletionTokens()), fmt.Sprint(s.GetWastedTokens()))
	}
	t.flush()
	return ExitOK, nil
}

// fetchUsage queries the servers in turn until one responds. If none does, it
// returns the last error.
func fetchUsage(servers string, query *usagev1.Query) (*usagev1.Totals, error) {
	var err error
	for _, address := range strings.Split(servers, ",") {
		service := usagev1.NewUsageServiceProtobufClient("http://"+strings.TrimSpace(address), &http.Client{})
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		var resp *usagev1.Totals
		resp, err = service.Report(ctx, query)
		cancel()
		if err == nil {
			return resp, nil
		}
	}
	return nil, err
}
