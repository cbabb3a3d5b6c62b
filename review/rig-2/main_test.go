// Package main plays the cases of the second review against the programs of the project. All of it is test code, which
// review/build-2.sh builds as a test binary: the product itself starts no process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

var cases = map[string]func(c *cluster, trouble bool) int{
	"formation": formation, "holders": holders, "many-parts": manyParts, "dark-crash": darkCrash, "late-order": lateOrder,
}

// TestMain plays the case that the arguments name: CASE ROOT RECORD.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT RECORD")
		os.Exit(cannot)
	}
	play := cases[os.Args[1]]
	rec, err := newRecorder(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or record:", err)
		os.Exit(cannot)
	}
	c, err := newCluster(rec, os.Args[2])
	if err != nil {
		rec.line("the case cannot run: %v", err)
		os.Exit(cannot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %v", os.Args[1], trouble)
	result := make(chan int, 1)
	go func() { result <- play(c, trouble) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	code := cannot
	select {
	case code = <-result:
	case <-stopped:
		rec.line("the case is stopped")
	case <-time.After(longest):
		rec.line("the case takes too long")
	}
	c.end()
	rec.line("verdict: %s", [...]string{"held", "BROKEN", "the case could not run"}[code])
	os.Exit(code)
}
