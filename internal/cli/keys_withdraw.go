package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/control/withdrawnkeys"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func addKeysWithdraw(r *registry, group *kingpin.CmdClause) {
	c := group.Command("withdraw", "Withdraws keys for good.")
	example(c, "Withdraws keys. The VM that is called refuses them at once; the answer lists the zones that have not confirmed yet. Exit codes: 0 confirmed everywhere, 4 not yet everywhere. A withdrawal cannot be undone.",
		"cuminwing keys withdraw --workspace yards --id dispatch-1 --server 10.0.0.1:7005")
	o := withdrawOptions{}
	c.Flag("sha256", "Hash of a key; may be repeated.").StringsVar(&o.hashes)
	c.Flag("workspace", "Workspace of the key that --id names.").StringVar(&o.workspace)
	c.Flag("id", "Name of a key in the document; may be repeated.").StringsVar(&o.ids)
	c.Flag("stdin", "Read keys from standard input, one a line; only their hashes are sent.").BoolVar(&o.stdin)
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.withdraw(o, out) }))
}

type withdrawOptions struct {
	hashes    []string
	workspace string
	ids       []string
	stdin     bool
}

func (c *client) withdraw(o withdrawOptions, out io.Writer) (int, error) {
	hashes, err := c.selectedKeys(o)
	if err != nil {
		return ExitRefused, err
	}
	request := &adminv1.WithdrawKeysRequest{Hashes: withdrawnkeys.EncodeHashes(hashes), EditId: newEditID()}
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.WithdrawKeysResponse, error) {
		return s.WithdrawKeys(ctx, request)
	})
	if err != nil {
		return ExitFailed, err
	}
	code := zonesExitCode(resp.GetZones())
	if !resp.GetCommitted() {
		code = ExitPartial
	}
	if c.output == outputJSON {
		return code, printMessage(out, resp)
	}
	printZones(out, resp.GetZones(), "confirmed")
	if !resp.GetCommitted() {
		fmt.Fprintln(out, "the control log has not committed the withdrawal yet; the VMs go on proposing it")
	}
	return code, nil
}

func (c *client) selectedKeys(o withdrawOptions) ([]apikeys.Hash, error) {
	var hashes []apikeys.Hash
	for _, text := range o.hashes {
		h, err := apikeys.ParseHash(text)
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, h)
	}
	if len(o.ids) > 0 {
		found, err := c.keysByID(o.workspace, o.ids)
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, found...)
	}
	if o.stdin {
		hashes = append(hashes, readKeyHashes(os.Stdin)...)
	}
	if len(hashes) == 0 {
		return nil, errors.New("no key is named; use --sha256, --workspace with --id, or --stdin")
	}
	return hashes, nil
}

func (c *client) keysByID(workspace string, ids []string) ([]apikeys.Hash, error) {
	if workspace == "" {
		return nil, errors.New("--id needs --workspace")
	}
	resp, err := c.listKeys(workspace)
	if err != nil {
		return nil, err
	}
	var rawHashes [][]byte
	for _, id := range ids {
		before := len(rawHashes)
		for _, k := range resp.GetKeys() {
			if k.GetId() == id {
				rawHashes = append(rawHashes, k.GetSha256())
			}
		}
		if len(rawHashes) == before {
			return nil, fmt.Errorf("workspace %s has no key %s in the document in force", workspace, id)
		}
	}
	return withdrawnkeys.DecodeHashes(rawHashes)
}

func readKeyHashes(in io.Reader) []apikeys.Hash {
	var hashes []apikeys.Hash
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		if key := strings.TrimSpace(scanner.Text()); key != "" {
			hashes = append(hashes, apikeys.HashKey(key))
		}
	}
	return hashes
}
