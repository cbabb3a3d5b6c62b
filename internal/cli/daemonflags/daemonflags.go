// Package daemonflags defines the command line of the daemon.
package daemonflags

import "github.com/alecthomas/kingpin/v2"

// Flags holds the values of the parsed command line.
type Flags struct {
	// Settings is the path of this VM's settings file.
	Settings string
	// Check makes the daemon validate the settings and exit.
	Check bool
}

// New returns the command-line parser and the flags that its Parse method sets.
func New() (*kingpin.Application, *Flags) {
	f := &Flags{}
	app := kingpin.New("cuminwingd", "Routes language-model requests with long shared prompts.")
	app.Flag("settings", "Settings file of this VM (JSON).").Required().PlaceHolder("FILE").StringVar(&f.Settings)
	app.Flag("check", "Check the settings and exit.").BoolVar(&f.Check)
	return app, f
}
