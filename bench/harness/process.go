package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"peardrift/internal/status"
)

// Process is a process started by the harness.
type Process struct {
	Name string
	Log  string // path of the file with its standard output and error
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs a program and redirects its output to a file in dir.
func start(dir, name, bin string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "create the log file of %s", name)
	}
	defer log.Close()
	p := &Process{Name: name, Log: log.Name(), cmd: exec.Command(bin, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process if the harness itself is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, status.Wrap(CodeHarness, err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process, also if it is stopped, and waits for it to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and kills the process if it has not exited within grace. It
// reports whether the process exited without being killed.
func (p *Process) Stop(grace time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(grace):
		p.Kill()
		return false
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit code, or -1 while the process runs or if it was
// terminated by a signal.
func (p *Process) ExitCode() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}
