package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
)

func addConfigValidate(r *registry, group *kingpin.CmdClause) {
	c := group.Command("validate", "Checks a document without a service.")
	example(c, "Checks a whole document, or each section of a file that holds only some. All problems are printed at once.",
		"cuminwing config validate service.json")
	file := c.Arg("file", "Document to check.").Required().String()
	r.add(c, func(out, errOut io.Writer) int { return validateDocument(*file, r.flags.output, out, errOut) })
}

func validateDocument(name, output string, out, errOut io.Writer) int {
	whole, err := validateFile(name)
	var invalid *config.InvalidError
	if output == outputJSON && (err == nil || errors.As(err, &invalid)) {
		problems := []config.Problem{}
		if invalid != nil {
			problems = invalid.Problems
		}
		_ = printJSON(out, map[string]any{"valid": err == nil, "whole": whole, "problems": problems})
	} else if err != nil {
		fmt.Fprintln(errOut, err)
	} else if whole {
		fmt.Fprintln(out, "document is valid")
	} else {
		fmt.Fprintln(out, "sections are valid; the document is checked as a whole when they are applied")
	}
	if err != nil {
		return ExitRefused
	}
	return ExitOK
}

func validateFile(name string) (whole bool, err error) {
	f, err := readDocumentFile(name)
	if err != nil {
		return false, err
	}
	problems := f.ValidateSections()
	if f.HasRequiredSections() {
		_, problems = f.Document()
	}
	if len(problems) > 0 {
		return f.HasRequiredSections(), fmt.Errorf("%s: %w", name, &config.InvalidError{Problems: problems})
	}
	return f.HasRequiredSections(), nil
}
