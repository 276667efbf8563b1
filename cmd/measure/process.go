package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// ticksPerSecond is the number of clock ticks per second of CPU time in Linux's /proc.
const ticksPerSecond = 100

// processCommand prints the CPU time that processes have used and their resident
// memory.
func processCommand() *cli.Command {
	return &cli.Command{
		Name:      "process",
		Usage:     "print CPU time in milliseconds and resident memory in KB of each PID",
		ArgsUsage: "PID...",
		Action: func(_ context.Context, c *cli.Command) error {
			for _, pid := range c.Args().Slice() {
				used, err := cpuTime(pid)
				if err != nil {
					return err
				}
				memory, err := residentKB(pid)
				if err != nil {
					return err
				}
				fmt.Println(pid, used.Milliseconds(), memory)
			}
			return nil
		},
	}
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid string) (time.Duration, error) {
	content, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

// residentKB returns 0 if the process has no resident memory, as kernel threads.
func residentKB(pid string) (int, error) {
	content, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, nil
}
