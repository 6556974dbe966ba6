package tester

import (
	"context"
	"crypto/rand"
	"errors"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// DeploymentConfig describes a deployment to start.
type DeploymentConfig struct {
	Folder         string // Holds settings, certificates, data folders and outputs.
	Binaries       Binaries
	FailureDomains []declarer.FailureDomain
	Entries        []EntryConfig
	BackendServers []BackendServerConfig

	Baseline             string        // Experimental baseline of the entries; empty for normal operation.
	DomainLatency        time.Duration // One way between failure domains; truncated to milliseconds on routes to backend servers.
	DirectBackendServers bool          // Entries reach backend servers without relays, for measurements.
	DrainDelay           time.Duration
	Environment          []string // Added to the environment of each process.
	PlatformArguments    []string // Additional arguments of the platform emulator.
	Seed                 uint64   // Determines which datagrams a drop rate loses.
}

// A FailureDomain is a part of a deployment that can be isolated.
type FailureDomain struct {
	declarer.FailureDomain
	Entries        []*EntryProcess
	BackendServers []*BackendServerProcess
}

// A relay can stop and resume forwarding, for partitions.
type relay interface {
	Block(d Direction)
	Unblock()
}

// A Route is the relayed connection from the entries of one failure domain to
// a peer or a backend server in the same or another one.
type Route struct {
	From  string // Failure domain of the dialing side.
	To    string // Failure domain of the dialed side.
	Relay relay
}

// A Deployment is a platform, entries and backend servers that run as
// processes, with a relay on each route between them.
type Deployment struct {
	Authority      *CertificateAuthority
	BackendServers []*BackendServerProcess
	Entries        []*EntryProcess
	FailureDomains []*FailureDomain
	KeyPepper      string
	OperatorKey    string
	Platform       *PlatformProcess
	Routes         []*Route

	cfg       DeploymentConfig
	cancel    context.CancelFunc // Ends the UDP relays.
	tcpRelays []*TCPRelay
	udpRelays []*UDPRelay
}

// StartDeployment starts all processes and returns when they listen. The
// caller must call Close, even if ctx has ended.
func StartDeployment(ctx context.Context, cfg DeploymentConfig) (d *Deployment, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "start deployment")
		}
	}()

	d = &Deployment{
		KeyPepper:   rand.Text(),
		OperatorKey: rand.Text(),
		cfg:         cfg,
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, merry.New(d.Tail()))
			d.Close()
			d = nil
		}
	}()
	var relayCtx context.Context
	relayCtx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err = d.prepare(relayCtx); err != nil {
		return d, err
	}
	return d, d.start(ctx)
}

// prepare creates all objects, relays and files without starting a process.
func (d *Deployment) prepare(ctx context.Context) (err error) {
	if err = os.MkdirAll(d.cfg.Folder, 0o700); err != nil {
		return err
	}
	if d.Authority, err = NewCertificateAuthority(d.cfg.Folder); err != nil {
		return err
	}
	for _, domain := range d.cfg.FailureDomains {
		d.FailureDomains = append(d.FailureDomains, &FailureDomain{FailureDomain: domain})
	}
	d.Platform = newPlatformProcess(d.cfg)
	if err = d.prepareEntries(ctx); err != nil {
		return err
	}
	return d.prepareBackendServers()
}

func (d *Deployment) prepareEntries(ctx context.Context) error {
	for _, cfg := range d.cfg.Entries {
		e, err := newEntryProcess(ctx, d, cfg)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
		d.Platform.relays = append(d.Platform.relays, e.PlatformRelay)
		domain := d.FailureDomain(e.FailureDomain)
		domain.Entries = append(domain.Entries, e)
	}
	for _, e := range d.Entries {
		if err := d.openLinks(ctx, e); err != nil {
			return err
		}
		e.Settings.Seeds = d.seeds()
		if err := e.Settings.write(e.settingsPath); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the seed list, which is the same for all entries.
func (d *Deployment) seeds() (all []SeedSettings) {
	for _, e := range d.Entries {
		all = append(all, SeedSettings{ID: e.ID, Address: e.LinkRouter.Address, FailureDomain: e.FailureDomain})
	}
	return all
}

// openLinks opens the relays through which the other entries dial an entry.
func (d *Deployment) openLinks(ctx context.Context, to *EntryProcess) error {
	for _, from := range d.Entries {
		if from == to {
			continue
		}
		r, err := NewUDPRelay(ctx, from.ID+"-to-"+to.ID, d.cfg.Seed+uint64(len(d.udpRelays)))
		if err != nil {
			return err
		}
		if from.FailureDomain != to.FailureDomain {
			r.setBaseLatency(d.cfg.DomainLatency)
		}
		to.incoming[from.ID] = r
		d.udpRelays = append(d.udpRelays, r)
		d.Routes = append(d.Routes, &Route{From: from.FailureDomain, To: to.FailureDomain, Relay: r})
	}
	return nil
}

func (d *Deployment) prepareBackendServers() error {
	for _, cfg := range d.cfg.BackendServers {
		domain := d.FailureDomain(cfg.FailureDomain)
		if domain == nil {
			return merry.Errorf("backend server %s: no failure domain %q", cfg.Name, cfg.FailureDomain)
		}
		b, err := newBackendServerProcess(d, cfg)
		if b != nil {
			d.BackendServers = append(d.BackendServers, b)
		}
		if err != nil {
			return err
		}
		domain.BackendServers = append(domain.BackendServers, b)
	}
	return nil
}

// openTCPRelay opens a relay from a failure domain to a backend server.
func (d *Deployment) openTCPRelay(name, from, to string) (r *TCPRelay, err error) {
	if r, err = NewTCPRelay(name, ""); err != nil {
		return nil, err
	}
	d.tcpRelays = append(d.tcpRelays, r)
	d.Routes = append(d.Routes, &Route{From: from, To: to, Relay: r})
	if from != to && d.cfg.DomainLatency >= time.Millisecond {
		return r, r.setBaseLatency(d.cfg.DomainLatency)
	}
	return r, nil
}

// start starts the platform and the backend servers before the entries.
func (d *Deployment) start(ctx context.Context) error {
	if err := d.Platform.start(ctx); err != nil {
		return err
	}
	servers := pool.New().WithContext(ctx)
	for _, b := range d.BackendServers {
		servers.Go(b.start)
	}
	if err := servers.Wait(); err != nil {
		return err
	}
	entries := pool.New().WithContext(ctx)
	for _, e := range d.Entries {
		entries.Go(e.start)
	}
	if err := entries.Wait(); err != nil {
		return err
	}
	return d.listInstances(ctx)
}

// entryOfSocket returns the entry that has a socket open, or nil.
func (d *Deployment) entryOfSocket(inode string) *EntryProcess {
	for _, e := range d.Entries {
		if p := e.Process(); p != nil && ownsSocket(p.PID, inode) {
			return e
		}
	}
	return nil
}

// FailureDomain returns the failure domain with the given name, or nil.
func (d *Deployment) FailureDomain(name string) *FailureDomain {
	for _, domain := range d.FailureDomains {
		if domain.Name == name {
			return domain
		}
	}
	return nil
}

// Entry returns the entry with the given ID, or nil.
func (d *Deployment) Entry(id string) *EntryProcess {
	for _, e := range d.Entries {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// BackendServer returns the backend server with the given name, or nil.
func (d *Deployment) BackendServer(name string) *BackendServerProcess {
	for _, b := range d.BackendServers {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// processes returns all processes of the deployment.
func (d *Deployment) processes() (all []*managedProcess) {
	if d.Platform != nil {
		all = append(all, &d.Platform.managedProcess)
	}
	for _, b := range d.BackendServers {
		all = append(all, &b.managedProcess)
	}
	for _, e := range d.Entries {
		all = append(all, &e.managedProcess)
	}
	return all
}

// Tail returns the last output lines of all processes.
func (d *Deployment) Tail() (text string) {
	for _, m := range d.processes() {
		if p := m.Process(); p != nil {
			text += p.Tail() + "\n"
		}
	}
	return text
}

// Close kills all processes and closes all relays.
func (d *Deployment) Close() {
	for _, m := range d.processes() {
		m.close()
	}
	for _, b := range d.BackendServers {
		b.close()
	}
	for _, r := range d.tcpRelays {
		r.Close()
	}
	d.cancel()
	for _, r := range d.udpRelays {
		r.Close()
	}
}
