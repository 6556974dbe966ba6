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
	// outputGrace bounds the wait for the rest of the output of a process
	// that has ended.
	outputGrace = 5 * time.Second
	// freezeLimit bounds the wait for a process to stop after SIGSTOP.
	freezeLimit = 10 * time.Second
	// statePoll is the interval at which the state of a process is read.
	statePoll = time.Millisecond
)

// A Command says how to start a process.
type Command struct {
	Name        string // Names the files of its output; unique in its folder.
	Path        string
	Arguments   []string
	Environment []string // Added to the environment of this process.
	Folder      string   // Holds the files of its output.
	OnEnd       func()   // Called when the process has ended, before anybody learns of it; may be nil.
}

// A Process is one run of a program that the harness started.
type Process struct {
	Name   string
	PID    int
	Stdout string // Path of a file; several runs of one name append to it.
	Stderr string // Path of a file.

	cmd    *exec.Cmd
	stdout *output
	stderr *output
	ended  chan struct{} // Closed when the process has been waited for.
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
	p.cmd.WaitDelay = outputGrace
	// The kernel sends the signal when the starting thread ends. The Go
	// runtime ends only threads that a goroutine locked and did not unlock.
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
	_ = p.cmd.Wait() // The exit state says all that callers need.
	p.state = p.cmd.ProcessState
	_ = p.stdout.file.Close()
	_ = p.stderr.file.Close()
	if onEnd != nil {
		onEnd()
	}
	close(p.ended)
}

// WaitListening returns the addresses that the process reports. It is called
// once for each process.
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

// Running says whether the process has not ended yet. A frozen process runs.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process and returns how it ended.
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

// Terminate asks the process to end and does not wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Continue lets a frozen process run again.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Freeze stops all threads of the process and returns when they stand still.
func (p *Process) Freeze() (err error) {
	if err = p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	limit := time.After(freezeLimit)
	ticker := time.NewTicker(statePoll)
	defer ticker.Stop()
	for {
		if processState(p.PID) == stateStopped {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.ended:
			return merry.Errorf("process %s ended instead of stopping (%s)", p.Name, p.state)
		case <-limit:
			return merry.Errorf("process %s did not stop within %s", p.Name, freezeLimit)
		}
	}
}

// Kill ends the process at once and returns when it is gone. It is no error
// when the process has ended already.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // Fails only when the process has ended.
	<-p.ended
}

// Tail returns the last lines that the process wrote.
func (p *Process) Tail() string {
	return fmt.Sprintf("--- %s, process %d, stdout:\n%s\n--- %s, stderr:\n%s",
		p.Name, p.PID, tail(p.Stdout), p.Name, tail(p.Stderr))
}
