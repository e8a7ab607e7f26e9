package scalerun

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
)

// process is a child process. The kernel kills it when this process ends for any reason.
type process struct {
	name  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	lines *bufio.Reader

	once sync.Once
}

// Usage is the resource usage of a process.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	RSSBytes   int     `json:"rss_bytes"`
	Sockets    int     `json:"sockets"` // including other open files
}

// spawn starts a child process whose standard error goes to the log.
func spawn(ctx context.Context, name, binary string, log io.Writer, env []string, args ...string) (*process, error) {
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = time.Second
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &process{name: name, cmd: cmd, stdin: stdin, lines: bufio.NewReader(stdout)}, nil
}

// line reads the next line of the child's standard output.
func (p *process) line() (string, error) {
	s, err := p.lines.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%s: %w", p.name, err)
	}
	return strings.TrimSuffix(s, "\n"), nil
}

// kill ends the child and waits for it.
func (p *process) kill() {
	p.once.Do(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

// usageOf reads the resource usage of a process. It returns false if the process no longer exists.
func usageOf(pid int) (Usage, bool) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, false
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, false
	}
	openFiles, err := proc.FileDescriptorsLen()
	if err != nil {
		return Usage{}, false
	}
	return Usage{CPUSeconds: stat.CPUTime(), RSSBytes: stat.ResidentMemory(), Sockets: openFiles}, true
}
