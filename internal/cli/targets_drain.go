package cli

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func addTargetsDrain(r *registry, group *kingpin.CmdClause) {
	c := group.Command("drain", "Gives a target no new work.")
	example(c, "Takes a target out of service on every known VM, or returns it. The VMs keep the decision in memory. Exit code 4 means that some VMs did not confirm.",
		"cuminwing targets drain engine-3 --server 10.0.0.1:7005")
	id := c.Arg("target", "Target to drain.").Required().String()
	resume := c.Flag("resume", "Return the target to service.").Bool()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.drain(*id, *resume, out) }))
}

func (c *client) drain(id string, resume bool, out io.Writer) (int, error) {
	request := &adminv1.DrainTargetRequest{Id: id, EditId: newEditID(), Resume: resume}
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.DrainTargetResponse, error) {
		return s.DrainTarget(ctx, request)
	})
	if err != nil {
		return ExitFailed, err
	}
	if c.output == outputJSON {
		return zonesExitCode(resp.GetZones()), printMessage(out, resp)
	}
	printZones(out, resp.GetZones(), "confirmed")
	return zonesExitCode(resp.GetZones()), nil
}
