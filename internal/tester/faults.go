package tester

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"
)

// Cut separates two failure domains: no datagram of a link passes between
// them, and no entry of one reaches a backend server of the other.
func (d *Deployment) Cut(domainA, domainB string) (err error) {
	if err = d.CutOneWay(domainA, domainB); err != nil {
		return err
	}
	return d.CutOneWay(domainB, domainA)
}

// CutOneWay loses what one failure domain sends to another one.
func (d *Deployment) CutOneWay(from, to string) error {
	if err := d.checkDomains(from, to); err != nil {
		return err
	}
	for _, w := range d.Ways {
		if w.From == from && w.To == to {
			w.Relay.Cut(ToTarget)
		}
		if w.From == to && w.To == from {
			w.Relay.Cut(FromTarget)
		}
	}
	return nil
}

// Join ends the cuts between two failure domains.
func (d *Deployment) Join(domainA, domainB string) error {
	if err := d.checkDomains(domainA, domainB); err != nil {
		return err
	}
	for _, w := range d.Ways {
		if (w.From == domainA && w.To == domainB) || (w.From == domainB && w.To == domainA) {
			w.Relay.Join()
		}
	}
	return nil
}

// Isolate separates a failure domain from all others and from the platform.
func (d *Deployment) Isolate(domain string) error {
	for _, other := range d.FailureDomains {
		if other.Name == domain {
			continue
		}
		if err := d.Cut(domain, other.Name); err != nil {
			return err
		}
	}
	return d.CutPlatform(domain)
}

// CutPlatform separates the entries of failure domains from the platform, of
// all when none is named. Calls hang, as to a machine that does not answer.
func (d *Deployment) CutPlatform(domains ...string) error {
	return d.eachPlatformRelay(domains, func(r *TCPRelay) {
		r.Cut(ToTarget)
		r.Cut(FromTarget)
	})
}

// JoinPlatform ends CutPlatform.
func (d *Deployment) JoinPlatform(domains ...string) error {
	return d.eachPlatformRelay(domains, (*TCPRelay).Join)
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

// Heal ends all faults of all relays. Silent connections stay silent, frozen
// processes frozen and killed ones dead.
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

// Freeze stops a process by the name of its entry, backend server or the
// platform, until Continue.
func (d *Deployment) Freeze(name string) error {
	m, err := d.member(name)
	if err != nil {
		return err
	}
	return m.Freeze()
}

// Continue lets a frozen process run again.
func (d *Deployment) Continue(name string) error {
	m, err := d.member(name)
	if err != nil {
		return err
	}
	return m.Continue()
}

// Kill ends a process at once. Connections to its address are refused.
func (d *Deployment) Kill(name string) error {
	m, err := d.member(name)
	if err != nil {
		return err
	}
	return m.Kill()
}

// Restart kills a process if it runs and starts it again. Others reach it at
// the same address as before; an entry's own HTTP address is a new one. The
// platform's stand-in forgets what it held, except the list of instances.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	m, err := d.member(name)
	if err != nil {
		return err
	}
	if err = m.Restart(ctx); err != nil || name != platformName {
		return err
	}
	return d.listInstances(ctx)
}

// KillDomain ends all processes of a failure domain, as a loss of power does.
func (d *Deployment) KillDomain(name string) error {
	if err := d.checkDomains(name); err != nil {
		return err
	}
	for _, m := range d.FailureDomain(name).members() {
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
	for _, m := range d.FailureDomain(name).members() {
		restarts.Go(m.Restart)
	}
	return restarts.Wait()
}

func (f *FailureDomain) members() (all []*member) {
	for _, b := range f.BackendServers {
		all = append(all, &b.member)
	}
	for _, e := range f.Entries {
		all = append(all, &e.member)
	}
	return all
}

// member returns the part of the deployment with a name.
func (d *Deployment) member(name string) (*member, error) {
	for _, m := range d.members() {
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
