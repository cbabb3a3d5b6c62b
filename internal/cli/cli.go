// Package cli implements the operators' command-line tool. Each command has its
// own file and returns one of the exit codes below.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes. Scripts depend on their values, so they must not change.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitRefused means that the input was rejected as invalid.
	ExitRefused = 2
	// ExitConflict means that another edit was committed first.
	ExitConflict = 3
	// ExitPartial means that the command succeeded, but not every VM or zone
	// has confirmed it.
	ExitPartial = 4
	// ExitCheckFailed means that the load command found a violated guarantee.
	ExitCheckFailed = 5
)

// command executes one subcommand and returns its exit code.
type command func(out, errOut io.Writer) int

// registry maps full command names to their implementations.
type registry struct {
	app      *kingpin.Application
	commands map[string]command
	// flags holds the flags of the commands that call a VM.
	flags *connectionFlags
	// reports is the parent of the report commands, nil until the first one
	// is added.
	reports *kingpin.CmdClause
}

func (r *registry) add(c *kingpin.CmdClause, run command) {
	r.commands[c.FullCommand()] = run
}

// longHelpTemplate appends the long help of a command, which contains its
// example, to the usage.
const longHelpTemplate = `{{with .Context.SelectedCommand}}{{with .HelpLong}}{{.}}
{{end}}{{end}}`

// Run executes the tool with args and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	r := newRegistry(out, errOut)
	name, exit, err := parse(r.app, args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errOut, "cuminwing:", err)
		return ExitRefused
	}
	return r.commands[name](out, errOut)
}

// newRegistry registers all commands without executing any of them.
func newRegistry(out, errOut io.Writer) *registry {
	app := kingpin.New("cuminwing", "Operates a cuminwing service.")
	app.UsageWriter(out).ErrorWriter(errOut).UsageTemplate(kingpin.DefaultUsageTemplate + longHelpTemplate)
	// kingpin requires that this function does not return: otherwise, after
	// --help or a completion script, it would continue parsing and print the
	// usage as well.
	app.Terminate(func(code int) { panic(exitRequest(code)) })
	r := &registry{app: app, commands: make(map[string]command), flags: &connectionFlags{}}
	addConnectionFlags(app, r.flags)
	addConfig(r)
	addKeys(r)
	addStatus(r)
	addTargets(r)
	addReportUsage(r)
	addCerts(r)
	addDemo(r)
	addLoad(r)
	addExplain(r)
	addExplainPlacement(r)
	addRollouts(r)
	addReportBurn(r)
	return r
}

// exitRequest is the panic value that carries an exit code out of kingpin.
type exitRequest int

// parse returns the full name of the command to execute. If kingpin handled
// the command line itself, as for --help, exit is its exit code; otherwise exit
// is negative.
func parse(app *kingpin.Application, args []string) (name string, exit int, err error) {
	exit = -1
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitRequest:
			exit = int(p)
		default:
			panic(p)
		}
	}()
	name, err = app.Parse(args)
	return name, exit, err
}

func addConnectionFlags(app *kingpin.Application, f *connectionFlags) {
	app.Flag("server", "Admin address of a VM as IP:port; several, separated by commas, are tried in turn.").
		Envar("CUMINWING_SERVER").PlaceHolder("IP:PORT").StringVar(&f.servers)
	app.Flag("output", "Output format: table or json.").Default(outputTable).EnumVar(&f.output, outputTable, outputJSON)
}
