package dotterharness

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter starts processes from one OS thread that never exits. The kernel sends
// Pdeathsig when the thread that started the child exits, so a child started
// from any other thread could be killed while the test process is still running.
var starter struct {
	once  sync.Once
	calls chan startCall
}

type startCall struct {
	command *exec.Cmd
	done    chan error
}

// start starts command, which the kernel kills if this process dies.
func start(command *exec.Cmd) error {
	starter.once.Do(func() {
		starter.calls = make(chan startCall)
		go runStarter()
	})
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	call := startCall{command: command, done: make(chan error, 1)}
	starter.calls <- call
	return <-call.done
}

func runStarter() {
	runtime.LockOSThread()
	for call := range starter.calls {
		call.done <- call.command.Start()
	}
}
