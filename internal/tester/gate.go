package tester

import (
	"sync"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// gateToxicType is the name of the gate among the toxics of toxiproxy.
const gateToxicType = "gate"

// registerGate makes the gate known to toxiproxy.
var registerGate = sync.OnceFunc(func() { toxics.Register(gateToxicType, new(gateToxic)) })

// A passageMode says what a gate does with the data of a connection.
type passageMode int

const (
	pass passageMode = iota
	hold             // Data waits until the gate opens, as after a healed partition.
	drop             // Data is lost and the end of the stream is not passed on.
	shut             // The connection ends.
)

// A gate controls one direction of all connections through a relay.
type gate struct {
	mu         sync.Mutex
	held       bool          // Connections hold their data.
	closed     bool          // The relay ends.
	generation int           // Connections of an earlier generation are silent for good.
	changed    chan struct{} // Closed and replaced at each change.
}

func newGate() *gate {
	return &gate{changed: make(chan struct{})}
}

func (g *gate) setHeld(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = held
	g.announce()
}

// silence makes the present connections silent for good.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation++
	g.announce()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.announce()
}

// announce wakes all connections; the caller holds g.mu.
func (g *gate) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// mode returns what to do with data of a connection of a generation, and a
// channel that is closed when the answer may be another one.
func (g *gate) mode(generation int) (mode passageMode, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		mode = shut
	case generation < g.generation:
		mode = drop
	case g.held:
		mode = hold
	}
	return mode, g.changed
}

// A passage is the state of one connection at a gate.
type passage struct {
	generation int
	pending    *stream.StreamChunk // Taken from the input and not yet passed on.
	ended      bool                // The input has ended while the passage dropped data.
}

// A gateToxic is a gate as a toxic of toxiproxy. The toxics that toxiproxy
// brings treat all connections alike; this one tells connections from before
// and after a fault apart.
type gateToxic struct {
	gate *gate
}

// NewState implements toxics.StatefulToxic; it is called for each connection.
func (t *gateToxic) NewState() any {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return &passage{generation: t.gate.generation}
}

// Pipe implements toxics.Toxic. It can be interrupted at any time without the
// loss of data, so that other toxics can be added and removed.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	p, ok := stub.State.(*passage)
	if !ok {
		stub.Close()
		return
	}
	for {
		mode, changed := t.gate.mode(p.generation)
		var next bool
		switch mode {
		case pass:
			next = p.pass(stub, changed)
		case hold:
			next = p.wait(stub, changed)
		case drop:
			next = p.drop(stub, changed)
		case shut:
			stub.Close()
			drain(stub)
		}
		if !next {
			return
		}
	}
}

// pass moves one chunk half of its way. It returns false when the pipe has to
// return.
func (p *passage) pass(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	if p.pending != nil {
		select {
		case <-stub.Interrupt:
			return false
		case <-changed:
		case stub.Output <- p.pending:
			p.pending = nil
		}
		return true
	}
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
	case p.pending = <-stub.Input:
		if p.pending == nil {
			stub.Close()
			return false
		}
	}
	return true
}

// wait leaves the data where it is until the gate changes.
func (p *passage) wait(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
		return true
	}
}

// drop loses one chunk, or waits for a change after the last one.
func (p *passage) drop(stub *toxics.ToxicStub, changed <-chan struct{}) bool {
	p.pending = nil
	if p.ended {
		return p.wait(stub, changed)
	}
	select {
	case <-stub.Interrupt:
		return false
	case <-changed:
	case chunk := <-stub.Input:
		p.ended = chunk == nil
	}
	return true
}

// drain reads the input to its end, so that the reader of the connection does
// not wait for ever to hand over a chunk.
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
