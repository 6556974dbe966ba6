package main

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// readyLimit bounds the time from the release note to ready entries.
const readyLimit = time.Minute

// A fleet is a running deployment under load.
type fleet struct {
	deployment *tester.Deployment
	keys       map[string]string // By workspace.
}

// startFleet starts a deployment and declares it.
func startFleet(ctx context.Context, described measurer.Deployment, cfg tester.DeploymentConfig) (f *fleet, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "start deployment %s", described.Name)
		}
	}()

	cfg.FailureDomains = described.FailureDomains
	cfg.DomainLatency = time.Duration(described.Distance)
	// A relay on each way to a backend server would take processor time from
	// the engines, and scenarios lose whole processes rather than connections.
	cfg.DirectBackendServers = true
	for _, e := range described.Entries {
		cfg.Entries = append(cfg.Entries, tester.EntryConfig(e))
	}
	for _, s := range described.BackendServers() {
		cfg.BackendServers = append(cfg.BackendServers, tester.BackendServerConfig{
			BackendServer: s,
			Arguments:     described.Arguments(s.Name),
		})
	}
	f = &fleet{keys: make(map[string]string)}
	if f.deployment, err = tester.StartDeployment(ctx, cfg); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = merry.Append(err, f.deployment.Tail())
			f.close()
		}
	}()
	return f, f.declare(ctx, described)
}

// declare applies the release note through the first entry and waits until
// all entries are ready.
func (f *fleet) declare(ctx context.Context, described measurer.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	var keys []declarer.Key
	for _, w := range described.Workspaces {
		f.keys[w.Name] = rand.Text()
		keys = append(keys, declarer.Key{
			Name:      w.Name,
			Workspace: w.Name,
			Digest:    f.deployment.KeyDigest(f.keys[w.Name]),
		})
	}
	note, err := described.ReleaseNote(f.deployment.Declaration().BackendServers, keys)
	if err != nil {
		return err
	}
	if _, err := f.deployment.Apply(ctx, f.deployment.Entries[0].ID, note); err != nil {
		return err
	}
	return f.deployment.WaitReady(ctx)
}

func (f *fleet) close() { f.deployment.Close() }

// EntryAddresses implements measurer.EntryLister.
func (f *fleet) EntryAddresses() (addresses []string) {
	for _, e := range f.deployment.Entries {
		addresses = append(addresses, e.Addresses().HTTP)
	}
	return addresses
}

// Begin implements measurer.Faulter.
func (f *fleet) Begin(ctx context.Context, fault measurer.Fault) error {
	switch fault.Kind {
	case measurer.PlatformDown:
		return f.deployment.Platform.SetFaults(ctx, platformemulator.Faults{Outage: platformemulator.OutageHang})
	case measurer.FailureDomainLost:
		return f.loseDomain(ctx, fault.FailureDomain)
	default:
		return merry.Errorf("unknown fault %q", fault.Kind)
	}
}

// End implements measurer.Faulter.
func (f *fleet) End(ctx context.Context, fault measurer.Fault) error {
	switch fault.Kind {
	case measurer.PlatformDown:
		return f.deployment.Platform.SetFaults(ctx, platformemulator.Faults{})
	case measurer.FailureDomainLost:
		return f.restoreDomain(ctx, fault.FailureDomain)
	default:
		return merry.Errorf("unknown fault %q", fault.Kind)
	}
}

// loseDomain kills a failure domain, of which the platform's list then shows
// nothing.
func (f *fleet) loseDomain(ctx context.Context, name string) error {
	if err := f.deployment.KillDomain(name); err != nil {
		return err
	}
	domain := f.deployment.FailureDomain(name)
	for _, e := range domain.Entries {
		if err := f.deployment.Platform.RemoveInstance(ctx, e.ID); err != nil {
			return err
		}
	}
	for _, b := range domain.BackendServers {
		if err := f.deployment.Platform.RemoveInstance(ctx, b.Name); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) restoreDomain(ctx context.Context, name string) error {
	if err := f.deployment.RestartDomain(ctx, name); err != nil {
		return err
	}
	domain := f.deployment.FailureDomain(name)
	for _, e := range domain.Entries {
		if err := f.deployment.Platform.SetInstance(ctx, e.Row()); err != nil {
			return err
		}
	}
	for _, b := range domain.BackendServers {
		if err := f.deployment.Platform.SetInstance(ctx, b.Row()); err != nil {
			return err
		}
	}
	return nil
}
