package tester

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// outputDrainTimeout bounds the wait for the remaining output of a process
	// that has ended.
	outputDrainTimeout = 5 * time.Second
	// freezeTimeout bounds the wait for a process to stop after SIGSTOP.
	freezeTimeout = 10 * time.Second
	// statePollInterval is the interval at which the state of a process is read.
	statePollInterval = time.Millisecond
)

// A Command describes how to start a process.
type Command struct {
	Name        string // Prefix of the output files; unique in its folder.
	Path        string
	Arguments   []string
	Environment []string // Added to the environment of the parent.
	Folder      string   // Holds the output files.
	OnEnd       func()   // Called when the process has ended, before Ended is closed; may be nil.
}

// A Process is one run of a program that the harness started.
type Process struct {
	Name   string
	PID    int
	Stdout string // Path of a file; runs with the same name append to it.
	Stderr string // Path of a file.

	cmd    *exec.Cmd
	stdout *output
	stderr *output
	ended  chan struct{} // Closed when the process has been reaped.
	state  *os.ProcessState
}

// StartProcess starts a program. The process is killed when ctx ends, and by
// the kernel when this process ends.
func StartProcess(ctx context.Context, c Command) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "start process %s", c.Name)
		}
	}()

	p = &Process{
		Name:   c.Name,
		Stdout: filepath.Join(c.Folder, c.Name+".stdout"),
		Stderr: filepath.Join(c.Folder, c.Name+".stderr"),
		ended:  make(chan struct{}),
	}
	if p.stdout, err = openOutput(p.Stdout); err != nil {
		return nil, err
	}
	if p.stderr, err = openOutput(p.Stderr); err != nil {
		return nil, err
	}
	p.cmd = exec.CommandContext(ctx, c.Path, c.Arguments...)
	p.cmd.Env = append(os.Environ(), c.Environment...)
	p.cmd.Stdout = p.stdout
	p.cmd.Stderr = p.stderr
	p.cmd.WaitDelay = outputDrainTimeout
	// The kernel sends the signal when the starting thread ends, which is not
	// before the process ends: the Go runtime ends only threads that a
	// goroutine locked and did not unlock.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err = p.cmd.Start(); err != nil {
		return nil, err
	}
	p.PID = p.cmd.Process.Pid
	go p.wait(c.OnEnd)
	return p, nil
}

// wait reaps the process and reports its end by closing p.ended.
func (p *Process) wait(onEnd func()) {
	_ = p.cmd.Wait() // Callers use the exit state instead of the error.
	p.state = p.cmd.ProcessState
	_ = p.stdout.file.Close()
	_ = p.stderr.file.Close()
	if onEnd != nil {
		onEnd()
	}
	close(p.ended)
}

// WaitListening waits for the addresses that the process reports. It must be
// called at most once per process.
func (p *Process) WaitListening(ctx context.Context) (a Addresses, err error) {
	select {
	case a = <-p.stdout.listening:
		return a, nil
	case <-p.ended:
		return Addresses{}, merry.Errorf("process %s ended before it listened (%s)\n%s", p.Name, p.state, p.Tail())
	case <-ctx.Done():
		return Addresses{}, merry.Prependf(ctx.Err(), "wait for process %s to listen", p.Name)
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Running reports whether the process has not ended yet. A frozen process
// counts as running.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process and returns its exit state.
func (p *Process) WaitExit(ctx context.Context) (state *os.ProcessState, err error) {
	select {
	case <-p.ended:
		return p.state, nil
	case <-ctx.Done():
		return nil, merry.Prependf(ctx.Err(), "wait for the end of process %s", p.Name)
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	if err := p.cmd.Process.Signal(signal); err != nil {
		return merry.Prependf(err, "send %s to process %s", signal, p.Name)
	}
	return nil
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Continue resumes a frozen process.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Freeze suspends all threads of the process and returns when they have
// stopped.
func (p *Process) Freeze() (err error) {
	if err = p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	timeout := time.After(freezeTimeout)
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		if processState(p.PID) == stateStopped {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.ended:
			return merry.Errorf("process %s ended instead of stopping (%s)", p.Name, p.state)
		case <-timeout:
			return merry.Errorf("process %s did not stop within %s", p.Name, freezeTimeout)
		}
	}
}

// Kill kills the process and returns when it has been reaped. It has no effect
// if the process has ended already.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // Fails only when the process has ended.
	<-p.ended
}

// Tail returns the last lines of stdout and stderr.
func (p *Process) Tail() string {
	return fmt.Sprintf("--- %s, process %d, stdout:\n%s\n--- %s, stderr:\n%s",
		p.Name, p.PID, tail(p.Stdout), p.Name, tail(p.Stderr))
}
