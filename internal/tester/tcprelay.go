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

// A Direction is one of the two directions through a relay.
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

// Built-in toxiproxy toxics that a relay uses.
const (
	latencyToxicType   = "latency"
	limitDataToxicType = "limit_data"
	resetPeerToxicType = "reset_peer"
)

// baseLatencyToxicName names the permanent latency, which is not a fault.
const baseLatencyToxicName = "base_latency"

// noTarget is the target of a relay before SetTarget. Nothing listens on the
// port, so that connections end at once.
const noTarget = "127.0.0.1:1"

// A TCPRelay forwards TCP connections to a target and injects faults. Its
// address stays the same when the target changes.
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

// A toxic is a fault in the JSON format of toxiproxy.
type toxic struct {
	Name       string          `json:"name"`
	Type       string          `json:"type"`
	Stream     string          `json:"stream"`
	Attributes toxicAttributes `json:"attributes"`
}

// toxicAttributes holds the parameters of all used toxics, with times in
// milliseconds.
type toxicAttributes struct {
	Bytes   int64 `json:"bytes,omitempty"`
	Jitter  int64 `json:"jitter,omitempty"`
	Latency int64 `json:"latency,omitempty"`
	Timeout int64 `json:"timeout,omitempty"`
}

// NewTCPRelay returns a listening relay. The target may be empty until
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

// addGates adds a gate as the first toxic in each direction.
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
			return merry.Errorf("toxic %s is not a gate", name)
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

// SetTarget changes the target address and closes the connections to the
// previous one.
func (r *TCPRelay) SetTarget(address string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(address, true)
}

// Refuse closes all connections and refuses new ones, as for a server that has
// ended. SetTarget and Accept undo it.
func (r *TCPRelay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxy.Stop()
}

// Accept accepts new connections again after Refuse.
func (r *TCPRelay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(r.proxy.Upstream, true)
}

// CloseConnections closes the open connections; new ones work.
func (r *TCPRelay) CloseConnections() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.proxy.Enabled {
		return nil
	}
	r.proxy.Stop()
	return r.update(r.proxy.Upstream, true)
}

// update reconfigures the proxy; the caller holds r.mu.
func (r *TCPRelay) update(target string, enabled bool) (err error) {
	if r.released {
		return merry.Errorf("TCP relay %s is closed", r.Name)
	}
	next := &toxiproxy.Proxy{Listen: r.Address, Upstream: target, Enabled: enabled}
	err = listenWithRetry(func() error { return r.proxy.Update(next) })
	return merry.Prependf(err, "update TCP relay %s", r.Name)
}

// BlackholeConnections drops all further data and ends of stream of the open
// connections in both directions and keeps them open. New connections work.
// Heal does not undo it.
func (r *TCPRelay) BlackholeConnections() {
	for _, g := range r.gates {
		g.blackholeConnections()
	}
}

// Block holds back all data in a direction, of open and of new connections,
// until Unblock or Heal. The data arrives then, as with TCP retransmissions.
func (r *TCPRelay) Block(d Direction) {
	r.gates[d].setHolding(true)
}

// Unblock undoes Block in both directions and keeps other faults.
func (r *TCPRelay) Unblock() {
	for _, g := range r.gates {
		g.setHolding(false)
	}
}

// setBaseLatency adds latency in each direction that Heal does not remove.
func (r *TCPRelay) setBaseLatency(latency time.Duration) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range directions {
		t := toxic{
			Name:       baseLatencyToxicName + "_" + d.stream(),
			Type:       latencyToxicType,
			Stream:     d.stream(),
			Attributes: toxicAttributes{Latency: latency.Milliseconds()},
		}
		if err = r.addToxic(t); err != nil {
			return merry.Prependf(err, "set the base latency of TCP relay %s", r.Name)
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

// CloseAfter closes each connection after n bytes from the target.
func (r *TCPRelay) CloseAfter(n int64) error {
	return r.addFault(limitDataToxicType, FromTarget, toxicAttributes{Bytes: n})
}

// Reset resets each new connection a delay after the first byte of the client.
func (r *TCPRelay) Reset(after time.Duration) error {
	return r.addFault(resetPeerToxicType, ToTarget, toxicAttributes{Timeout: after.Milliseconds()})
}

// Heal clears all faults except BlackholeConnections and Refuse.
func (r *TCPRelay) Heal() (err error) {
	r.Unblock()
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

// Close closes the relay and its connections.
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
