package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func addTargets(r *registry) {
	group := r.app.Command("targets", "Works with targets.")
	addTargetsList(r, group)
	addTargetsDrain(r, group)
}

func addTargetsList(r *registry, group *kingpin.CmdClause) {
	c := group.Command("list", "Lists the targets that a VM knows.")
	example(c, "Lists the targets that the called VM knows, mostly those of its zone.", "cuminwing targets list --server 10.0.0.1:7005")
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.listTargets(out) }))
}

func (c *client) listTargets(out io.Writer) (int, error) {
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.ListTargetsResponse, error) {
		return s.ListTargets(ctx, &adminv1.ListTargetsRequest{})
	})
	if err != nil {
		return ExitFailed, err
	}
	if c.output == outputJSON {
		return ExitOK, printMessage(out, resp)
	}
	t := newTable(out, "ZONE", "TARGET", "KIND", "STATE", "MODEL", "VERSION", "INCARNATION", "ADDRESS")
	for _, target := range resp.GetTargets() {
		t.row(target.GetZone(), target.GetId(), target.GetKind(), target.GetState(), target.GetModel(), target.GetVersion(),
			fmt.Sprint(target.GetIncarnation()), target.GetAddress())
	}
	t.flush()
	return ExitOK, nil
}
