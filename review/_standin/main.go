// Command standin runs the cases of the review: it starts entries as processes of their
// own, with stand-ins for the store, the workers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(*deployment, bool) (broken bool, err error){
	"2": runLongPrompts,
	"3": runForeignRow,
	"4": runDoubleSlash,
	"5": runEncodedSlash,
}

// main takes the number of the case, the program of the entry and the record file. The
// case runs without its disruption if TROUBLE is 0.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ENTRY-PROGRAM RECORD-FILE")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	d := newDeployment(program, record)
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(exitFailed)
	}()
	broken, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return exitFailed
	case broken:
		record.printf("result: rule broken")
		return exitBroken
	}
	record.printf("result: rule held")
	return exitHeld
}
