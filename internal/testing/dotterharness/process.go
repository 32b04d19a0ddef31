package dotterharness

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Process is a program that the harness started.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}

	mu  sync.Mutex
	err error // of its end
}

// startProcess starts a program that writes to out and errors, which may be nil.
func startProcess(program string, arguments []string, out, errors io.Writer) (*Process, error) {
	path, err := Binary(program)
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, arguments...)
	command.Stdout = out
	command.Stderr = errors
	if err := start(command); err != nil {
		return nil, eris.Wrap(ErrProcess, err.Error())
	}
	p := &Process{command: command, ended: make(chan struct{})}
	go p.wait()
	return p, nil
}

// Pid returns the process's id.
func (p *Process) Pid() int {
	return p.command.Process.Pid
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// Err returns how the process ended: nil for exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Alive reports whether the process runs or is frozen.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process until it is thawed.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() {
	p.signal(syscall.SIGCONT)
}

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// signal sends a signal; one to a process that has just ended does nothing.
func (p *Process) signal(signal os.Signal) {
	if p.Alive() {
		p.command.Process.Signal(signal)
	}
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.ended)
}
