package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// TestOverlappingRestartsStartOneProcess ends several restarts of one entry at the same
// time. Only one of them may start the next process, which has the entry's addresses.
func TestOverlappingRestartsStartOneProcess(t *testing.T) {
	dir := t.TempDir()
	program := "#!/bin/sh\nexec sleep 60\n"
	if err := os.WriteFile(filepath.Join(dir, "cicadareel"), []byte(program), 0o700); err != nil {
		t.Fatal(err)
	}
	e := &entryNode{name: "entry-0"}
	d := &deployment{t: t, bin: dir, dir: dir, entries: []*entryNode{e}}
	in := &faultInjector{deployment: d, random: rand.New(rand.NewPCG(1, 1)), log: t.Logf}
	d.startEntry(e, 0)
	const rounds, restarts = 20, 4
	for range rounds {
		var done sync.WaitGroup
		var ends []func()
		for range restarts {
			ends = append(ends, in.restart().start())
		}
		for _, end := range ends {
			done.Go(end)
		}
		done.Wait()
		if e.exitedUnexpectedly() {
			t.Error("the process counts as ended unexpectedly")
		}
	}
	child, incarnation := e.expectExit()
	child.Kill()
	if want := rounds + 1; incarnation != want {
		t.Errorf("%d processes started, want %d", incarnation, want)
	}
}
