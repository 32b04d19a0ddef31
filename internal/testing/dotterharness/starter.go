package dotterharness

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter starts processes from one thread that never ends: the kernel kills a
// child with Pdeathsig when the thread that started it ends.
var starter struct {
	once  sync.Once
	calls chan startCall
}

type startCall struct {
	command *exec.Cmd
	done    chan error
}

// start starts command, which ends at the latest with this process.
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
