package tester

import (
	"sync"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// gateToxicType is the toxiproxy type name of gateToxic.
const gateToxicType = "gate"

// registerGate registers gateToxic with toxiproxy once.
var registerGate = sync.OnceFunc(func() { toxics.Register(gateToxicType, new(gateToxic)) })

// A forwardMode says what a gate does with the data of a connection.
type forwardMode int

const (
	forwardData     forwardMode = iota
	holdData                    // Data is held until the gate opens, as TCP retransmits it after a partition.
	dropData                    // Data is lost and the end of the stream is not forwarded.
	closeConnection             // The connection is closed.
)

// A gate controls one direction of all connections through a relay.
type gate struct {
	mu         sync.Mutex
	holding    bool          // Connections hold their data.
	closed     bool          // The relay is closed.
	generation int           // Connections of an earlier generation are blackholed.
	changed    chan struct{} // Closed and replaced at each change.
}

func newGate() *gate {
	return &gate{changed: make(chan struct{})}
}

func (g *gate) setHolding(holding bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holding = holding
	g.notify()
}

// blackholeConnections drops all further data of the open connections.
func (g *gate) blackholeConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation++
	g.notify()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.notify()
}

// notify wakes all connections after a change; the caller holds g.mu.
func (g *gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// mode returns the mode for connections of a generation, and a channel that is
// closed when the mode may have changed.
func (g *gate) mode(generation int) (mode forwardMode, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		mode = closeConnection
	case generation < g.generation:
		mode = dropData
	case g.holding:
		mode = holdData
	}
	return mode, g.changed
}

// connectionState is the state of one connection at a gate.
type connectionState struct {
	generation int
	pending    *stream.StreamChunk // Read from the input and not yet written to the output.
	ended      bool                // The input ended while data was dropped.
}

// A gateToxic applies a gate as a toxiproxy toxic. The built-in toxics treat
// all connections alike; this one distinguishes connections opened before a
// fault from later ones.
type gateToxic struct {
	gate *gate
}

// NewState implements toxics.StatefulToxic; it is called for each connection.
func (t *gateToxic) NewState() any {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return &connectionState{generation: t.gate.generation}
}

// Pipe implements toxics.Toxic. It can be interrupted at any time without
// losing data, so that other toxics can be added and removed.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	c, ok := stub.State.(*connectionState)
	if !ok {
		stub.Close()
		return
	}
	for {
		mode, changed := t.gate.mode(c.generation)
		var next bool
		switch mode {
		case forwardData:
			next = c.forward(stub, changed)
		case holdData:
			next = c.wait(stub, changed)
		case dropData:
			next = c.drop(stub, changed)
		case closeConnection:
			stub.Close()
			drain(stub)
		}
		if !next {
			return
		}
	}
}

// forward writes the pending chunk to the output, or reads the next one from
// the input. It returns false when Pipe must return.
func (c *connectionState) forward(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	if c.pending != nil {
		select {
		case <-stub.Interrupt:
			return false
		case <-changed:
		case stub.Output <- c.pending:
			c.pending = nil
		}
		return true
	}
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
	case c.pending = <-stub.Input:
		if c.pending == nil {
			stub.Close()
			return false
		}
	}
	return true
}

// wait blocks until the gate changes, without reading or writing data.
func (c *connectionState) wait(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
		return true
	}
}

// drop discards one chunk, or waits for a change after the end of the input.
func (c *connectionState) drop(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	c.pending = nil
	if c.ended {
		return c.wait(stub, changed)
	}
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
	case chunk := <-stub.Input:
		c.ended = chunk == nil
	}
	return true
}

// drain reads the input to its end, so that the reader of the connection does
// not block forever on sending a chunk.
func drain(stub *toxics.ToxicStub) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				return
			}
		}
	}
}
