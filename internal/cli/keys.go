package cli

import (
	"fmt"
	"io"

	"github.com/cuminwing/cuminwing/internal/keys"
)

func addKeys(r *registry) {
	group := r.app.Command("keys", "Works with caller keys.")
	create := group.Command("new", "Makes a key and prints it once, with the hash for the document.")
	r.add(create, newKey)
}

func newKey(out, errOut io.Writer) int {
	key, err := keys.New()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	fmt.Fprintf(out, "key:    %s\nsha256: %s\n", key, keys.Sum(key))
	return ExitOK
}
