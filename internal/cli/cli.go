// Package cli implements the operators' tool. Each command has a file of its
// own and returns one of the exit codes below.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes, stable for scripts.
const (
	ExitOK = 0
	// ExitFailed means that the command could not do its work.
	ExitFailed = 1
	// ExitRefused means that the input was refused.
	ExitRefused = 2
	// ExitConflict means that another edit came first.
	ExitConflict = 3
	// ExitPartial means that the work was done but not confirmed everywhere.
	ExitPartial = 4
	// ExitPromiseBroken means that a check of the load tool failed.
	ExitPromiseBroken = 5
)

// command runs one subcommand and returns its exit code.
type command func(out, errOut io.Writer) int

// registry maps full command names to their implementation.
type registry struct {
	app      *kingpin.Application
	commands map[string]command
}

func (r *registry) add(c *kingpin.CmdClause, run command) {
	r.commands[c.FullCommand()] = run
}

// Run executes the tool with args and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	app := kingpin.New("cuminwing", "Operates a cuminwing service.")
	app.UsageWriter(out).ErrorWriter(errOut)
	exit := -1
	app.Terminate(func(code int) { exit = code })
	r := &registry{app: app, commands: make(map[string]command)}
	addConfig(r)
	addKeys(r)
	addDemo(r)
	name, err := app.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errOut, "cuminwing:", err)
		return ExitRefused
	}
	return r.commands[name](out, errOut)
}
