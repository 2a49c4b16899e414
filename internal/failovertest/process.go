package failovertest

import (
	"fmt"
	"os/exec"
	"syscall"
)

// Process is a controller's process, which can be paused and killed.
type Process struct{ command *exec.Cmd }

// StartProcess starts a command, which is killed when the context of the command ends. The
// process gets a process group of its own: when a process group with stopped processes loses
// its shell, the whole group is killed, which would include this process.
func StartProcess(command *exec.Cmd) (*Process, error) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", command.Path, err)
	}
	return &Process{command: command}, nil
}

// Pause stops the process until Continue is called.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue lets the process go on after Pause.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Kill ends the process without a graceful shutdown and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// signal sends a signal to the process, if it is still running.
func (p *Process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }
