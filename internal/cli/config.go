package cli

import (
	"fmt"
	"io"

	"github.com/cuminwing/cuminwing/internal/config"
)

func addConfig(r *registry) {
	group := r.app.Command("config", "Works with the service document.")
	validate := group.Command("validate", "Checks a document. Example: cuminwing config validate service.json")
	file := validate.Arg("file", "Document to check.").Required().String()
	r.add(validate, func(out, errOut io.Writer) int { return validateDocument(*file, out, errOut) })
}

func validateDocument(file string, out, errOut io.Writer) int {
	if _, err := config.LoadFile(file); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitRefused
	}
	fmt.Fprintln(out, "document is valid")
	return ExitOK
}
