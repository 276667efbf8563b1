package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(c *context) bool{
	"ids":     ids,
	"heads":   heads,
	"move":    moveStore,
	"parts":   parts,
	"readers": readers,
}

// context is what a case runs with.
type context struct {
	record *record
	// dir is a temporary folder.
	dir string
	// trouble is false if the case runs without its disruption.
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitUnable)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		fail("the case was ended")
	}()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	temporary = dir
	c := &context{record: newRecord(os.Args[2]), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	held := cases[os.Args[1]](c)
	stopAll()
	_ = os.RemoveAll(dir)
	if !held {
		fmt.Println("the rule was broken; see", os.Args[2])
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
