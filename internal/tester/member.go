package tester

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// startLimit bounds the time from the start of a process to its listening
// line.
const startLimit = 30 * time.Second

// A member is a part of a deployment that runs as a process and can be
// started again under the same name.
type member struct {
	command     Command
	onListening func(Addresses) error // Tells relays the new addresses; may be nil.

	mu        sync.Mutex
	process   *Process // The latest run; nil before the first one.
	addresses Addresses
}

// start runs the program and returns when it listens. The process outlives
// ctx: Close of the deployment ends it.
func (m *member) start(ctx context.Context) (err error) {
	p, err := StartProcess(context.WithoutCancel(ctx), m.command)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()

	waitCtx, cancel := context.WithTimeout(ctx, startLimit)
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

// Process returns the latest run, nil before the first one.
func (m *member) Process() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Addresses returns what the latest run reported.
func (m *member) Addresses() Addresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses
}

// Freeze stops the process until Continue.
func (m *member) Freeze() error {
	return m.signal((*Process).Freeze)
}

// Continue lets a frozen process run again.
func (m *member) Continue() error {
	return m.signal((*Process).Continue)
}

// Terminate asks the process to end and does not wait.
func (m *member) Terminate() error {
	return m.signal((*Process).Terminate)
}

// Kill ends the process at once and returns when it is gone.
func (m *member) Kill() error {
	return m.signal(func(p *Process) error {
		p.Kill()
		return nil
	})
}

// Restart kills the process if it runs and starts it again with the same
// settings and the same data folder.
func (m *member) Restart(ctx context.Context) (err error) {
	if err = m.Kill(); err != nil {
		return err
	}
	return m.start(ctx)
}

func (m *member) signal(send func(*Process) error) error {
	p := m.Process()
	if p == nil {
		return merry.Errorf("%s was never started", m.command.Name)
	}
	return send(p)
}

// close ends the process if there is one.
func (m *member) close() {
	if p := m.Process(); p != nil {
		p.Kill()
	}
}
