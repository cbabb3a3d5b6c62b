package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
)

func addKeys(r *registry) {
	group := r.app.Command("keys", "Works with caller keys.")
	addKeysNew(r, group)
	addKeysWithdraw(r, group)
	addKeysList(r, group)
}

func addKeysNew(r *registry, group *kingpin.CmdClause) {
	c := group.Command("new", "Makes a key and prints it once, with its hash.")
	example(c, "Makes a key. Only its hash goes into the document. With --workspace the hash is added to the document in force.",
		"cuminwing keys new --workspace yards --id dispatch-2 --server 10.0.0.1:7005")
	workspace := c.Flag("workspace", "Workspace to add the key to.").String()
	id := c.Flag("id", "Name of the key in logs and tools; the start of its hash by default.").String()
	r.add(c, func(out, errOut io.Writer) int {
		key, err := apikeys.New()
		if err != nil {
			fmt.Fprintln(errOut, err)
			return ExitFailed
		}
		printNewKey(key, r.flags.output, out)
		if *workspace == "" {
			return ExitOK
		}
		add := func(cl *client, out, errOut io.Writer) (int, error) {
			return cl.addKey(*workspace, keyEntry(*id, apikeys.HashKey(key)), out, errOut)
		}
		// Standard output carries only the key, so the outcome of the edit
		// goes to standard error.
		return r.flags.command(add)(errOut, errOut)
	})
}

// defaultKeyIDBytes is the number of leading hash bytes that form the default
// ID of a key.
const defaultKeyIDBytes = 4

func keyEntry(id string, h apikeys.Hash) config.Key {
	if id == "" {
		id = fmt.Sprintf("%x", h[:defaultKeyIDBytes])
	}
	return config.Key{ID: id, SHA256: h.String()}
}

func printNewKey(key, output string, out io.Writer) {
	if output == outputJSON {
		_ = printJSON(out, map[string]string{"key": key, "sha256": apikeys.HashKey(key).String()})
		return
	}
	fmt.Fprintf(out, "key:    %s\nsha256: %s\n", key, apikeys.HashKey(key))
}

// addKey adds a key to a workspace of the active document.
func (c *client) addKey(workspace string, key config.Key, out, errOut io.Writer) (int, error) {
	_, current, err := c.fetchSections(string(config.SectionWorkspaces))
	if err != nil {
		return ExitFailed, err
	}
	section := current[config.SectionWorkspaces]
	currentContents, err := config.ParseRawSection(sectionContents(section))
	if err != nil {
		return ExitFailed, err
	}
	if _, known := currentContents[workspace]; !known {
		return ExitRefused, fmt.Errorf("workspace %s does not exist", workspace)
	}
	patch, err := currentContents.AppendKey(workspace, key)
	if err != nil {
		return ExitFailed, err
	}
	ch := sectionChange{section: config.SectionWorkspaces, base: section.GetRevision(), patch: patch}
	return c.sendEdit(newEdit([]sectionChange{ch}, editOptions{comment: "new key " + key.ID}), out, errOut)
}
