// Command cuminwing-node runs one process on the users' platform: either a
// front, which accepts requests, or a member of the core. The platform's
// settings file selects the role.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/logsink"
	"github.com/cuminwing/cuminwing/internal/edge"
	"github.com/cuminwing/cuminwing/platform"
)

const (
	exitOK      = 0
	exitFailed  = 1
	exitRefused = 2
)

// memoryLimitFraction is the fraction of the process's memory limit that is set
// as the soft limit of the Go runtime, near which the garbage collector runs
// more often. The rest is reserved for stacks and socket buffers.
const memoryLimitFraction = 0.6

func main() {
	app := kingpin.New("cuminwing-node", "Runs a front or a member of the core with the settings of the platform.")
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*check))
}

func run(check bool) int {
	// Registered first, because SIGHUP ends a process that does not handle it.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	settings, role, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	logger, sink := logsink.New(os.Stdout)
	defer sink.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go logReloads(ctx, sighup, settings, logger)
	if err := serve(ctx, settings, role, logger); err != nil {
		logger.Error("front or core process failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// logReloads reloads the settings on SIGHUP and logs the result. The seeds are
// read again whenever they are needed, so nothing else has to be updated.
func logReloads(ctx context.Context, sighup <-chan os.Signal, s edge.Settings, logger *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			seeds, err := s.Reload()
			logger.Info("settings reloaded", zap.Strings("seeds", seeds), zap.Error(err))
		}
	}
}

func serve(ctx context.Context, s edge.Settings, role platform.Role, logger *zap.Logger) error {
	if role == platform.RoleFront {
		return edge.RunFront(ctx, s, edge.FrontOptions{
			Logger: logger, Decode: platform.DecodeDocument, Codec: platform.Codec{},
		})
	}
	return edge.RunCore(ctx, s, edge.CoreOptions{
		Logger: logger, Decode: platform.DecodeDocument, Engines: platform.NewEngineClient(), Control: platform.ControlHandler,
	})
}
