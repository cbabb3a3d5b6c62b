// Command cuminwing is the operators' command-line tool.
package main

import (
	"os"

	"github.com/cuminwing/cuminwing/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
