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

	Baseline             string        // Passed to entries; empty means the system as it is.
	Distance             time.Duration // One way between failure domains; in whole milliseconds on ways to backend servers.
	DirectBackendServers bool          // Entries reach backend servers without relays, for measurements.
	DrainDelay           time.Duration
	Environment          []string // Added to each process.
	PlatformArguments    []string // Further arguments of the platform's stand-in.
	Seed                 uint64   // Decides which datagrams a drop rate loses.
}

// A FailureDomain is a part of a deployment that can be cut off.
type FailureDomain struct {
	declarer.FailureDomain
	Entries        []*EntryProcess
	BackendServers []*BackendServerProcess
}

// A relay is the part of a relay that a partition needs.
type relay interface {
	Cut(d Direction)
	Join()
}

// A Way leads from the entries of one failure domain to a peer or a backend
// server in another or the same one.
type Way struct {
	From  string // Failure domain of the end that dials.
	To    string // Failure domain of the end that is dialled.
	Relay relay
}

// A Deployment is a platform, entries and backend servers that run as
// processes, with a relay on each way between them.
type Deployment struct {
	Authority      *CertificateAuthority
	BackendServers []*BackendServerProcess
	Entries        []*EntryProcess
	FailureDomains []*FailureDomain
	KeyPepper      string
	OperatorKey    string
	Platform       *PlatformProcess
	Ways           []*Way

	cfg       DeploymentConfig
	cancel    context.CancelFunc // Ends the UDP relays.
	tcpRelays []*TCPRelay
	udpRelays []*UDPRelay
}

// StartDeployment starts all processes and returns when they listen. Close
// has to be called also after ctx has ended.
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

// prepare makes all objects, relays and files; no process runs yet.
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

// seeds returns the list of entries, which is the same for all.
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
			r.setDistance(d.cfg.Distance)
		}
		to.incoming[from.ID] = r
		d.udpRelays = append(d.udpRelays, r)
		d.Ways = append(d.Ways, &Way{From: from.FailureDomain, To: to.FailureDomain, Relay: r})
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
	d.Ways = append(d.Ways, &Way{From: from, To: to, Relay: r})
	if from != to && d.cfg.Distance >= time.Millisecond {
		return r, r.setDistance(d.cfg.Distance)
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

// ownerOf returns the entry that has a socket open, nil when there is none.
func (d *Deployment) ownerOf(inode string) *EntryProcess {
	for _, e := range d.Entries {
		if p := e.Process(); p != nil && ownsSocket(p.PID, inode) {
			return e
		}
	}
	return nil
}

// FailureDomain returns a failure domain, nil when there is none of the name.
func (d *Deployment) FailureDomain(name string) *FailureDomain {
	for _, domain := range d.FailureDomains {
		if domain.Name == name {
			return domain
		}
	}
	return nil
}

// Entry returns an entry, nil when there is none of the name.
func (d *Deployment) Entry(id string) *EntryProcess {
	for _, e := range d.Entries {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// BackendServer returns a backend server, nil when there is none of the name.
func (d *Deployment) BackendServer(name string) *BackendServerProcess {
	for _, b := range d.BackendServers {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// members returns all parts of the deployment that run as processes.
func (d *Deployment) members() (all []*member) {
	if d.Platform != nil {
		all = append(all, &d.Platform.member)
	}
	for _, b := range d.BackendServers {
		all = append(all, &b.member)
	}
	for _, e := range d.Entries {
		all = append(all, &e.member)
	}
	return all
}

// Tail returns the last lines of all processes.
func (d *Deployment) Tail() (text string) {
	for _, m := range d.members() {
		if p := m.Process(); p != nil {
			text += p.Tail() + "\n"
		}
	}
	return text
}

// Close kills all processes and ends all relays.
func (d *Deployment) Close() {
	for _, m := range d.members() {
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
