package standin

import (
	"os"
	"os/exec"
	"syscall"
)

// Child is a process that a test started. Signals go to its process id only.
type Child struct {
	command *exec.Cmd
	exited  chan struct{}
	// err is the result of Wait, set before exited is closed.
	err error
}

// StartChild starts a program and appends its output to the log file.
func StartChild(log, program string, args ...string) (*Child, error) {
	logFile, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := &Child{command: exec.Command(program, args...), exited: make(chan struct{})}
	c.command.Stdout, c.command.Stderr = logFile, logFile
	if err := c.command.Start(); err != nil {
		_ = logFile.Close()
		return nil, err
	}
	go func() {
		c.err = c.command.Wait()
		_ = logFile.Close()
		close(c.exited)
	}()
	return c, nil
}

// Pid returns the id of the process.
func (c *Child) Pid() int { return c.command.Process.Pid }

// Signal sends a signal to the process.
func (c *Child) Signal(s syscall.Signal) error { return c.command.Process.Signal(s) }

// Kill sends SIGKILL, which also ends a stopped process, and waits for its exit.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL)
	<-c.exited
}

// Exited returns a channel that is closed when the process has exited.
func (c *Child) Exited() <-chan struct{} { return c.exited }

// Err returns the exit error of the process, or nil for exit status 0. Call it after
// the process has exited.
func (c *Child) Err() error { return c.err }
