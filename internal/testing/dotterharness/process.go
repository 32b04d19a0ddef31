package dotterharness

import (
	"fmt"
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
	err error // result of waiting for the process
}

// StartProcess starts a program with the given outputs; a nil output is discarded. The
// process is killed when the test process dies. Its error is ErrProcess or ErrBuild.
func StartProcess(program string, arguments []string, stdout, stderr io.Writer) (*Process, error) {
	return StartLimited(0, program, arguments, stdout, stderr)
}

// StartLimited is StartProcess with a limit of descriptors; 0 is that of the test process.
func StartLimited(descriptors int, program string, arguments []string, stdout, stderr io.Writer) (*Process, error) {
	path, err := Binary(program)
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, arguments...)
	if descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
		command = exec.Command("sh", append([]string{"-c", script, path}, arguments...)...)
	}
	command.Stdout = stdout
	command.Stderr = stderr
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

// Ended returns a channel that is closed once the process has exited.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// Err returns how the process exited. It is nil for exit code 0 and while the
// process is running.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Alive reports whether the process has not exited; it may be frozen.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze suspends the process until Resume is called.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
}

// Reload asks the process to read its settings again.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Resume continues a frozen process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// signal sends a signal. It does nothing if the process has already exited.
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
