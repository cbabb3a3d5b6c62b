package cli

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func addKeysList(r *registry, group *kingpin.CmdClause) {
	c := group.Command("list", "Lists the keys of the document by their hashes.")
	example(c, "Lists the keys in force and whether they are withdrawn.", "cuminwing keys list --workspace yards --server 10.0.0.1:7005")
	workspace := c.Flag("workspace", "List only the keys of this workspace.").String()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.printKeys(*workspace, out) }))
}

func (c *client) listKeys(workspace string) (*adminv1.ListKeysResponse, error) {
	return callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.ListKeysResponse, error) {
		return s.ListKeys(ctx, &adminv1.ListKeysRequest{Workspace: workspace})
	})
}

// listedKey is the JSON output for one key.
type listedKey struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn"`
}

func (c *client) printKeys(workspace string, out io.Writer) (int, error) {
	resp, err := c.listKeys(workspace)
	if err != nil {
		return ExitFailed, err
	}
	list := make([]listedKey, 0, len(resp.GetKeys()))
	for _, k := range resp.GetKeys() {
		list = append(list, listedKey{k.GetWorkspace(), k.GetId(), hex.EncodeToString(k.GetSha256()), k.GetWithdrawn()})
	}
	if c.output == outputJSON {
		return ExitOK, printJSON(out, map[string]any{"keys": list, "withdrawn": resp.GetWithdrawn()})
	}
	t := newTable(out, "WORKSPACE", "ID", "SHA256", "STATE")
	for _, k := range list {
		state := "usable"
		if k.Withdrawn {
			state = "withdrawn"
		}
		t.row(k.Workspace, k.ID, k.SHA256, state)
	}
	t.flush()
	fmt.Fprintf(out, "%d keys are withdrawn in all\n", resp.GetWithdrawn())
	return ExitOK, nil
}
