// Package daemonflags defines the command line of the daemon.
package daemonflags

import "github.com/alecthomas/kingpin/v2"

// Flags are the values of a parsed command line.
type Flags struct {
	// Settings is the settings file of this VM.
	Settings string
	// Check asks for a check of the settings only.
	Check bool
}

// New returns the application and the flags that its Parse fills in.
func New() (*kingpin.Application, *Flags) {
	f := &Flags{}
	app := kingpin.New("cuminwingd", "Routes language-model requests with long shared prompts.")
	app.Flag("settings", "Settings file of this VM (JSON).").Required().PlaceHolder("FILE").StringVar(&f.Settings)
	app.Flag("check", "Check the settings and exit.").BoolVar(&f.Check)
	return app, f
}
