package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/config"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

func addConfigApply(r *registry, group *kingpin.CmdClause) {
	c := group.Command("apply", "Puts a document file in force.")
	example(c, "Sends the changed sections of a document file. Exit codes: 0 in force everywhere, 2 refused, 3 somebody else was first, 4 in force but not in all zones.",
		"cuminwing config apply rates.json --comment \"raise yards\" --server 10.0.0.1:7005")
	file := c.Arg("file", "Document file.").Required().String()
	comment := c.Flag("comment", "Reason, for the history.").String()
	editID := c.Flag("edit-id", "ID of the edit, to resend one whose answer was lost; made anew by default.").String()
	overwrite := c.Flag("overwrite", "Accept a file that does not note the state it was read from.").Bool()
	r.add(c, r.flags.command(func(cl *client, out, errOut io.Writer) (int, error) {
		return cl.applyFile(*file, editOptions{*comment, *editID, *overwrite}, out, errOut)
	}))
}

type editOptions struct {
	comment   string
	editID    string
	overwrite bool
}

func (c *client) applyFile(name string, o editOptions, out, errOut io.Writer) (int, error) {
	compared, code, err := c.compareFile(name)
	if err != nil {
		return code, err
	}
	if len(compared.changes) == 0 && o.editID == "" {
		fmt.Fprintln(errOut, "the file changes nothing")
		return ExitOK, nil
	}
	if code, err := checkBaseRevisions(compared.file, compared.changes, o.overwrite); err != nil {
		return code, err
	}
	if err := validateMerged(compared.file, compared.current); err != nil {
		return ExitRefused, err
	}
	return c.sendEdit(newEdit(compared.changes, o), out, errOut)
}

// checkBaseRevisions verifies that the patches were computed against the
// revisions that the file was read from. Edits committed after this check are
// detected by the control log.
func checkBaseRevisions(f *config.DocumentFile, changes []sectionChange, overwrite bool) (int, error) {
	for _, ch := range changes {
		_, hasBase := f.Base[ch.section]
		if !hasBase && !overwrite && ch.current.GetRevision() > 0 {
			return ExitRefused, fmt.Errorf("section %s of the file does not note the state it was read from; read it with \"config get\" or use --overwrite", ch.section)
		}
		if ch.base < ch.current.GetRevision() {
			return ExitConflict, conflictError(ch)
		}
		if ch.base > ch.current.GetRevision() {
			return ExitFailed, fmt.Errorf("the VM has section %s at revision %d, but the file was read at revision %d; try again or use another VM",
				ch.section, ch.current.GetRevision(), ch.base)
		}
	}
	return ExitOK, nil
}

func newEdit(changes []sectionChange, o editOptions) *configv1.Edit {
	if o.editID == "" {
		o.editID = newEditID()
	}
	edit := &configv1.Edit{Id: o.editID, Operator: operatorName(), Comment: o.comment}
	for _, ch := range changes {
		edit.Sections = append(edit.Sections, &configv1.SectionEdit{
			Section:      string(ch.section),
			BaseRevision: ch.base,
			Patch:        ch.patch,
		})
	}
	return edit
}

// sendEdit commits an edit and prints the outcome. If a response is lost, it
// resends the edit with the same ID.
func (c *client) sendEdit(edit *configv1.Edit, out, errOut io.Writer) (int, error) {
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.ApplyConfigResponse, error) {
		return s.ApplyConfig(ctx, &adminv1.ApplyConfigRequest{Edit: edit})
	})
	if err != nil {
		return ExitFailed, fmt.Errorf("edit %s: its outcome is unknown, see \"config history\": %w", edit.GetId(), err)
	}
	if c.output == outputJSON {
		if err := printMessage(out, resp); err != nil {
			return ExitFailed, err
		}
		return outcomeExitCode(resp), nil
	}
	printOutcome(resp, out, errOut)
	return outcomeExitCode(resp), nil
}

func outcomeExitCode(resp *adminv1.ApplyConfigResponse) int {
	switch resp.GetResult().GetOutcome() {
	case configv1.Outcome_OUTCOME_ACCEPTED:
		return zonesExitCode(resp.GetZones())
	case configv1.Outcome_OUTCOME_CONFLICT:
		return ExitConflict
	}
	return ExitRefused
}

func printOutcome(resp *adminv1.ApplyConfigResponse, out, errOut io.Writer) {
	result := resp.GetResult()
	switch result.GetOutcome() {
	case configv1.Outcome_OUTCOME_ACCEPTED:
		fmt.Fprintf(out, "edit %s accepted at revision %d\n", result.GetEditId(), result.GetRevision())
		printZones(out, resp.GetZones(), "in force")
	case configv1.Outcome_OUTCOME_CONFLICT:
		for _, c := range result.GetConflicts() {
			fmt.Fprintf(errOut, "conflict: section %s was changed to revision %d by edit %s\n", c.GetSection(), c.GetRevision(), c.GetEditId())
		}
	case configv1.Outcome_OUTCOME_ID_REUSED:
		fmt.Fprintf(errOut, "edit ID %s was used before with other contents\n", result.GetEditId())
	default:
		for _, p := range result.GetProblems() {
			fmt.Fprintf(errOut, "%s: %s\n", p.GetPath(), p.GetReason())
		}
	}
}
