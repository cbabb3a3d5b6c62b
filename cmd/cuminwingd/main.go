// Command cuminwingd is the daemon that runs on every VM.
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

	"github.com/cuminwing/cuminwing/internal/cli/daemonflags"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/settings"
)

const (
	exitOK      = 0
	exitFailed  = 1
	exitRefused = 2
)

// memoryLimitFraction is the fraction of memory_mb that is set as the soft limit of the Go
// runtime. The rest is for the program, stacks and socket buffers.
const memoryLimitFraction = 0.6

func main() {
	app, flags := daemonflags.New()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(flags.Settings, flags.Check))
}

func run(file string, check bool) int {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	if check {
		// The document is not validated on a normal start: once the control
		// log holds a configuration, an outdated document file must not
		// prevent a VM from serving.
		if _, err := config.LoadFile(s.DocumentFile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitRefused
		}
		fmt.Println("settings are valid")
		return exitOK
	}
	if s.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(int64(s.MemoryMB)<<20)))
	}
	logger, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = logger.Sync() }()
	return serve(s, logger)
}

func serve(s settings.Settings, logger *zap.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := daemon.Start(s, daemon.Options{Logger: logger})
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		return exitFailed
	}
	<-ctx.Done()
	if err := node.Shutdown(context.Background()); err != nil {
		logger.Error("shutdown was cut short", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
