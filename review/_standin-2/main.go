// Command review-2 plays the cases of the second independent review that are scripts: it
// starts the project's programs as separate processes on loopback addresses, stands in for
// clients, endpoints and the platform, and checks one rule.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*deployment) (bool, error){
		"headers":     runHeaders,
		"stop":        runStop,
		"versions":    runVersions,
		"foreign-row": runForeignRow,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(run func(*deployment) (bool, error), recordPath string) int {
	d, err := newDeployment(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return 2
	}
	defer d.close()
	held, err := run(d)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		return 2
	case !held:
		d.record("result: the rule was broken")
		return 1
	}
	d.record("result: the rule held")
	return 0
}
