package tester

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// A Direction tells the two ways through a relay apart.
type Direction int

// The directions of a relay.
const (
	ToTarget Direction = iota
	FromTarget
	directions // The number of directions.
)

// stream returns the name of the direction in toxiproxy.
func (d Direction) stream() string {
	if d == ToTarget {
		return stream.Upstream.String()
	}
	return stream.Downstream.String()
}

// Types of the toxics of toxiproxy that a relay uses beside the gate.
const (
	latencyToxicType   = "latency"
	limitDataToxicType = "limit_data"
	resetPeerToxicType = "reset_peer"
)

// distanceToxicName names the latency that is no fault.
const distanceToxicName = "distance"

// noTarget is the target of a relay until it learns its own; nobody listens
// on the port, so that connections end at once.
const noTarget = "127.0.0.1:1"

// A TCPRelay is a relay between two ends of TCP connections that injects
// faults. Its address stays the same while targets come and go.
type TCPRelay struct {
	Name    string
	Address string

	port  *ReservedPort
	gates [directions]*gate

	mu       sync.Mutex
	proxy    *toxiproxy.Proxy
	toxics   []string // Names of the toxics that Heal removes.
	released bool
}

// A toxic is a fault in the form that toxiproxy reads.
type toxic struct {
	Name       string          `json:"name"`
	Type       string          `json:"type"`
	Stream     string          `json:"stream"`
	Attributes toxicAttributes `json:"attributes"`
}

// toxicAttributes holds the parameters of all used toxics, times in
// milliseconds.
type toxicAttributes struct {
	Bytes   int64 `json:"bytes,omitempty"`
	Jitter  int64 `json:"jitter,omitempty"`
	Latency int64 `json:"latency,omitempty"`
	Timeout int64 `json:"timeout,omitempty"`
}

// NewTCPRelay returns a relay that listens. The target may be empty until
// SetTarget.
func NewTCPRelay(name, target string) (r *TCPRelay, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "open TCP relay %s", name)
		}
	}()

	registerGate()
	port, err := ReservePort()
	if err != nil {
		return nil, err
	}
	if target == "" {
		target = noTarget
	}
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	r = &TCPRelay{
		Name:    name,
		Address: port.Address,
		port:    port,
		proxy:   toxiproxy.NewProxy(server, name, port.Address, target),
	}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if err = r.addGates(); err != nil {
		return nil, err
	}
	return r, r.proxy.Start()
}

// addGates puts a gate in front of all other toxics in each direction.
func (r *TCPRelay) addGates() error {
	for d := range r.gates {
		r.gates[d] = newGate()
		direction := Direction(d)
		name := gateToxicType + "_" + direction.stream()
		if err := r.addToxic(toxic{Name: name, Type: gateToxicType, Stream: direction.stream()}); err != nil {
			return err
		}
		added, ok := r.proxy.Toxics.GetToxic(name).Toxic.(*gateToxic)
		if !ok {
			return merry.Errorf("toxic %s is no gate", name)
		}
		added.gate = r.gates[d]
	}
	return nil
}

func (r *TCPRelay) addToxic(t toxic) error {
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	_, err = r.proxy.Toxics.AddToxicJson(bytes.NewReader(text))
	return err
}

// addFault adds a toxic that Heal removes.
func (r *TCPRelay) addFault(kind string, d Direction, attributes toxicAttributes) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "add %s to TCP relay %s", kind, r.Name)
		}
	}()

	r.mu.Lock()
	defer r.mu.Unlock()
	t := toxic{Name: kind + "_" + d.stream(), Type: kind, Stream: d.stream(), Attributes: attributes}
	if err := r.addToxic(t); err != nil {
		return err
	}
	r.toxics = append(r.toxics, t.Name)
	return nil
}

// SetTarget leads new connections to another address and closes those to the
// former one.
func (r *TCPRelay) SetTarget(address string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(address, true)
}

// Refuse closes all connections and refuses new ones, as a machine does on
// which the process has ended. SetTarget and Accept end it.
func (r *TCPRelay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxy.Stop()
}

// Accept lets new connections through again after Refuse.
func (r *TCPRelay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(r.proxy.Upstream, true)
}

// CloseConnections closes the present connections; new ones work.
func (r *TCPRelay) CloseConnections() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.proxy.Enabled {
		return nil
	}
	r.proxy.Stop()
	return r.update(r.proxy.Upstream, true)
}

// update changes the proxy; the caller holds r.mu.
func (r *TCPRelay) update(target string, enabled bool) (err error) {
	if r.released {
		return merry.Errorf("TCP relay %s is closed", r.Name)
	}
	next := &toxiproxy.Proxy{Listen: r.Address, Upstream: target, Enabled: enabled}
	err = listenAgain(func() error { return r.proxy.Update(next) })
	return merry.Prependf(err, "update TCP relay %s", r.Name)
}

// Silence makes the present connections silent for good: no data and no end
// of stream passes in either direction, and they stay open. New connections
// work. Heal does not revive them.
func (r *TCPRelay) Silence() {
	for _, g := range r.gates {
		g.silence()
	}
}

// Cut holds all data in a direction, of present and of new connections, until
// Heal. Data that was sent meanwhile arrives then, as TCP sends it again.
func (r *TCPRelay) Cut(d Direction) {
	r.gates[d].setHeld(true)
}

// Join ends the cuts in both directions and leaves other faults.
func (r *TCPRelay) Join() {
	for _, g := range r.gates {
		g.setHeld(false)
	}
}

// setDistance adds latency in each direction that stays after Heal.
func (r *TCPRelay) setDistance(latency time.Duration) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range directions {
		t := toxic{
			Name:       distanceToxicName + "_" + d.stream(),
			Type:       latencyToxicType,
			Stream:     d.stream(),
			Attributes: toxicAttributes{Latency: latency.Milliseconds()},
		}
		if err = r.addToxic(t); err != nil {
			return merry.Prependf(err, "set the distance of TCP relay %s", r.Name)
		}
	}
	return nil
}

// Delay adds latency in each direction.
func (r *TCPRelay) Delay(latency time.Duration) (err error) {
	attributes := toxicAttributes{Latency: latency.Milliseconds()}
	if err = r.addFault(latencyToxicType, ToTarget, attributes); err != nil {
		return err
	}
	return r.addFault(latencyToxicType, FromTarget, attributes)
}

// CutAfter ends each connection after n bytes from the target.
func (r *TCPRelay) CutAfter(n int64) error {
	return r.addFault(limitDataToxicType, FromTarget, toxicAttributes{Bytes: n})
}

// Reset resets each new connection when the first byte of the client has
// come, after a delay.
func (r *TCPRelay) Reset(after time.Duration) error {
	return r.addFault(resetPeerToxicType, ToTarget, toxicAttributes{Timeout: after.Milliseconds()})
}

// Heal ends all faults except silent connections and Refuse.
func (r *TCPRelay) Heal() (err error) {
	r.Join()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.toxics) > 0 {
		if err = r.proxy.Toxics.RemoveToxic(context.Background(), r.toxics[0]); err != nil {
			return merry.Prependf(err, "remove %s from TCP relay %s", r.toxics[0], r.Name)
		}
		r.toxics = r.toxics[1:]
	}
	return nil
}

// Close ends the relay and its connections.
func (r *TCPRelay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	for _, g := range r.gates {
		if g != nil {
			g.close()
		}
	}
	r.proxy.Stop()
	r.port.Release()
}
