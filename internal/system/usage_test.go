package system

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usage is what a process held at most while it was watched.
type usage struct {
	// resident is the highest resident memory, as the kernel counted it.
	resident int64
	// withQueues is the highest sum of resident memory and of what the process's sockets
	// had received and not read, or written and not delivered.
	withQueues int64
	// queues is the highest of these unread and undelivered bytes.
	queues int64
	// descriptors is the highest number of open descriptors.
	descriptors int
}

func (u usage) String() string {
	return fmt.Sprintf("memory %d, in sockets %d, together %d, descriptors %d", u.resident, u.queues, u.withQueues, u.descriptors)
}

// usageWatch samples a process until stop is called.
type usageWatch struct {
	pid int
	// local and remote are the ports of the process's own connections: those that it
	// accepts at local, and those that it opens to remote.
	local, remote int
	done          chan struct{}
	sampling      sync.WaitGroup
	peak          usage
}

func watchUsage(pid, local, remote int) *usageWatch {
	w := &usageWatch{pid: pid, local: local, remote: remote, done: make(chan struct{})}
	w.sampling.Go(func() {
		for {
			w.sample()
			select {
			case <-w.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return w
}

// stop ends the samples and returns the peaks.
func (w *usageWatch) stop() usage {
	close(w.done)
	w.sampling.Wait()
	return w.peak
}

func (w *usageWatch) sample() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return
	}
	queued := w.queued()
	w.peak.queues = max(w.peak.queues, queued)
	w.peak.resident = max(w.peak.resident, statusBytes(status, "VmHWM:"))
	w.peak.withQueues = max(w.peak.withQueues, w.peak.resident, queued+statusBytes(status, "VmRSS:"))
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
		w.peak.descriptors = max(w.peak.descriptors, len(files))
	}
}

// statusBytes returns a field of /proc/PID/status that is in kB, in bytes.
func statusBytes(status []byte, name string) int64 {
	_, rest, _ := bytes.Cut(status, []byte(name))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return kilobytes * 1024
}

// queued returns the bytes in the queues of the process's sockets.
func (w *usageWatch) queued() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	local, remote := fmt.Sprintf(":%04X", w.local), fmt.Sprintf(":%04X", w.remote)
	var sum int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		const listening = "0A"
		if len(f) < 5 || f[3] == listening || !strings.HasSuffix(f[1], local) && !strings.HasSuffix(f[2], remote) {
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, text := range []string{sent, received} {
			n, _ := strconv.ParseInt(text, 16, 64)
			sum += n
		}
	}
	return sum
}
