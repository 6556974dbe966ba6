package tester

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// startTimeout bounds the time from the start of a process to its listening
// line.
const startTimeout = 30 * time.Second

// A managedProcess is a process of a deployment that can be restarted under
// the same name.
type managedProcess struct {
	command     Command
	onListening func(Addresses) error // Called with the addresses of each run, to update relays; may be nil.

	mu        sync.Mutex
	latest    *Process // The latest run; nil before the first one.
	addresses Addresses
}

// start runs the program and returns when it listens. The process is not tied
// to ctx; Deployment.Close kills it.
func (m *managedProcess) start(ctx context.Context) (err error) {
	p, err := StartProcess(context.WithoutCancel(ctx), m.command)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.latest = p
	m.mu.Unlock()

	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addresses, err := p.WaitListening(waitCtx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.addresses = addresses
	m.mu.Unlock()
	if m.onListening == nil {
		return nil
	}
	return m.onListening(addresses)
}

// Process returns the latest run, or nil before the first one.
func (m *managedProcess) Process() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// Addresses returns the addresses that the latest run reported.
func (m *managedProcess) Addresses() Addresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses
}

// Freeze suspends the process until Continue.
func (m *managedProcess) Freeze() error {
	return m.signal((*Process).Freeze)
}

// Continue resumes a frozen process.
func (m *managedProcess) Continue() error {
	return m.signal((*Process).Continue)
}

// Terminate sends SIGTERM to the process and does not wait.
func (m *managedProcess) Terminate() error {
	return m.signal((*Process).Terminate)
}

// Kill kills the process and returns when it has been reaped.
func (m *managedProcess) Kill() error {
	return m.signal(func(p *Process) error {
		p.Kill()
		return nil
	})
}

// Restart kills the process if it runs and starts it again with the same
// settings and the same data folder.
func (m *managedProcess) Restart(ctx context.Context) (err error) {
	if err = m.Kill(); err != nil {
		return err
	}
	return m.start(ctx)
}

func (m *managedProcess) signal(send func(*Process) error) error {
	p := m.Process()
	if p == nil {
		return merry.Errorf("process %s was never started", m.command.Name)
	}
	return send(p)
}

// close kills the process if there is one.
func (m *managedProcess) close() {
	if p := m.Process(); p != nil {
		p.Kill()
	}
}
