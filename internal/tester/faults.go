package tester

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"
)

// Partition separates two failure domains: links between them lose all
// datagrams, and no entry of one reaches a backend server of the other.
func (d *Deployment) Partition(domainA, domainB string) (err error) {
	if err = d.PartitionOneWay(domainA, domainB); err != nil {
		return err
	}
	return d.PartitionOneWay(domainB, domainA)
}

// PartitionOneWay blocks what one failure domain sends to another one.
func (d *Deployment) PartitionOneWay(from, to string) error {
	if err := d.checkDomains(from, to); err != nil {
		return err
	}
	for _, route := range d.Routes {
		if route.From == from && route.To == to {
			route.Relay.Block(ToTarget)
		}
		if route.From == to && route.To == from {
			route.Relay.Block(FromTarget)
		}
	}
	return nil
}

// Reconnect ends a partition between two failure domains.
func (d *Deployment) Reconnect(domainA, domainB string) error {
	if err := d.checkDomains(domainA, domainB); err != nil {
		return err
	}
	for _, route := range d.Routes {
		if (route.From == domainA && route.To == domainB) || (route.From == domainB && route.To == domainA) {
			route.Relay.Unblock()
		}
	}
	return nil
}

// Isolate partitions a failure domain from all others and from the platform.
func (d *Deployment) Isolate(domain string) error {
	for _, other := range d.FailureDomains {
		if other.Name == domain {
			continue
		}
		if err := d.Partition(domain, other.Name); err != nil {
			return err
		}
	}
	return d.DisconnectPlatform(domain)
}

// DisconnectPlatform disconnects the entries of the given failure domains, or
// of all if none is given, from the platform. Calls hang instead of failing.
func (d *Deployment) DisconnectPlatform(domains ...string) error {
	return d.eachPlatformRelay(domains, func(r *TCPRelay) {
		r.Block(ToTarget)
		r.Block(FromTarget)
	})
}

// ReconnectPlatform undoes DisconnectPlatform.
func (d *Deployment) ReconnectPlatform(domains ...string) error {
	return d.eachPlatformRelay(domains, (*TCPRelay).Unblock)
}

func (d *Deployment) eachPlatformRelay(domains []string, do func(*TCPRelay)) error {
	if err := d.checkDomains(domains...); err != nil {
		return err
	}
	for _, domain := range d.FailureDomains {
		if len(domains) > 0 && !slices.Contains(domains, domain.Name) {
			continue
		}
		for _, e := range domain.Entries {
			do(e.PlatformRelay)
		}
	}
	return nil
}

// Heal clears the faults of all relays. Blackholed connections stay
// blackholed, frozen processes frozen and killed ones dead.
func (d *Deployment) Heal() error {
	for _, r := range d.tcpRelays {
		if err := r.Heal(); err != nil {
			return err
		}
	}
	for _, r := range d.udpRelays {
		r.Heal()
	}
	return nil
}

// Freeze suspends the process of the named entry or backend server, or of the
// platform, until Continue.
func (d *Deployment) Freeze(name string) error {
	m, err := d.findProcess(name)
	if err != nil {
		return err
	}
	return m.Freeze()
}

// Continue resumes a frozen process.
func (d *Deployment) Continue(name string) error {
	m, err := d.findProcess(name)
	if err != nil {
		return err
	}
	return m.Continue()
}

// Kill kills a process. Connections to its address are then refused.
func (d *Deployment) Kill(name string) error {
	m, err := d.findProcess(name)
	if err != nil {
		return err
	}
	return m.Kill()
}

// Restart kills a process if it runs and starts it again. Others reach it at
// the same address as before; an entry's own HTTP address changes. The
// platform emulator loses its data, except the list of instances.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	m, err := d.findProcess(name)
	if err != nil {
		return err
	}
	if err = m.Restart(ctx); err != nil || name != platformName {
		return err
	}
	return d.listInstances(ctx)
}

// KillDomain kills all processes of a failure domain, as a power failure would.
func (d *Deployment) KillDomain(name string) error {
	if err := d.checkDomains(name); err != nil {
		return err
	}
	for _, m := range d.FailureDomain(name).processes() {
		if err := m.Kill(); err != nil {
			return err
		}
	}
	return nil
}

// RestartDomain starts all processes of a failure domain again.
func (d *Deployment) RestartDomain(ctx context.Context, name string) error {
	if err := d.checkDomains(name); err != nil {
		return err
	}
	restarts := pool.New().WithContext(ctx)
	for _, m := range d.FailureDomain(name).processes() {
		restarts.Go(m.Restart)
	}
	return restarts.Wait()
}

func (f *FailureDomain) processes() (all []*managedProcess) {
	for _, b := range f.BackendServers {
		all = append(all, &b.managedProcess)
	}
	for _, e := range f.Entries {
		all = append(all, &e.managedProcess)
	}
	return all
}

// findProcess returns the process with the given name.
func (d *Deployment) findProcess(name string) (*managedProcess, error) {
	for _, m := range d.processes() {
		if m.command.Name == name {
			return m, nil
		}
	}
	return nil, merry.Errorf("the deployment has no process %q", name)
}

func (d *Deployment) checkDomains(names ...string) error {
	for _, name := range names {
		if d.FailureDomain(name) == nil {
			return merry.Errorf("the deployment has no failure domain %q", name)
		}
	}
	return nil
}
