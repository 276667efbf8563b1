package standin

import (
	"os"
	"os/exec"
	"syscall"
)

// Child is a process that a test started. Only its own id is ever signalled.
type Child struct {
	command *exec.Cmd
	exited  chan struct{}
	// err is how it ended; set before exited is closed.
	err error
}

// StartChild starts a program with its output in the log file.
func StartChild(log, program string, args ...string) (*Child, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := &Child{command: exec.Command(program, args...), exited: make(chan struct{})}
	c.command.Stdout, c.command.Stderr = out, out
	if err := c.command.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	go func() {
		c.err = c.command.Wait()
		_ = out.Close()
		close(c.exited)
	}()
	return c, nil
}

// Signal sends a signal.
func (c *Child) Signal(s syscall.Signal) error { return c.command.Process.Signal(s) }

// Kill ends the process without any goodbye, also one that is stopped.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL)
	<-c.exited
}

// Exited is closed once the process has ended.
func (c *Child) Exited() <-chan struct{} { return c.exited }

// Err returns how the process ended; nil for a good end.
func (c *Child) Err() error { return c.err }
