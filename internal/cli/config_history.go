package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const defaultHistoryLimit = "20"

func addConfigHistory(r *registry, group *kingpin.CmdClause) {
	c := group.Command("history", "Lists the latest accepted edits.")
	example(c, "Lists accepted edits, latest first. With --output json it prints their merge patches too.",
		"cuminwing config history --limit 5 --server 10.0.0.1:7005")
	limit := c.Flag("limit", "Largest number of edits; 0 for all that the VM keeps.").Default(defaultHistoryLimit).Uint32()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.history(*limit, out) }))
}

// historyEntry is the JSON output for one edit.
type historyEntry struct {
	Revision uint64                     `json:"revision"`
	Time     time.Time                  `json:"time"`
	EditID   string                     `json:"edit_id"`
	Operator string                     `json:"operator"`
	Comment  string                     `json:"comment"`
	Patches  map[string]json.RawMessage `json:"patches"`
}

func (c *client) history(limit uint32, out io.Writer) (int, error) {
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.HistoryResponse, error) {
		return s.History(ctx, &adminv1.HistoryRequest{Limit: limit})
	})
	if err != nil {
		return ExitFailed, err
	}
	if c.output == outputJSON {
		return ExitOK, printJSON(out, historyEntries(resp.GetChanges()))
	}
	t := newTable(out, "REVISION", "TIME", "OPERATOR", "SECTIONS", "EDIT", "COMMENT")
	for _, change := range resp.GetChanges() {
		edit := change.GetEdit()
		t.row(fmt.Sprint(change.GetRevision()), time.UnixMilli(change.GetTimeMs()).UTC().Format(time.RFC3339),
			edit.GetOperator(), strings.Join(sectionNames(edit), ","), edit.GetId(), edit.GetComment())
	}
	t.flush()
	return ExitOK, nil
}

func sectionNames(edit *configv1.Edit) []string {
	var names []string
	for _, s := range edit.GetSections() {
		names = append(names, s.GetSection())
	}
	return names
}

func historyEntries(changes []*configv1.Change) []historyEntry {
	entries := make([]historyEntry, 0, len(changes))
	for _, change := range changes {
		edit := change.GetEdit()
		e := historyEntry{
			Revision: change.GetRevision(),
			Time:     time.UnixMilli(change.GetTimeMs()).UTC(),
			EditID:   edit.GetId(),
			Operator: edit.GetOperator(),
			Comment:  edit.GetComment(),
			Patches:  make(map[string]json.RawMessage),
		}
		for _, s := range edit.GetSections() {
			e.Patches[s.GetSection()] = s.GetPatch()
		}
		entries = append(entries, e)
	}
	return entries
}
