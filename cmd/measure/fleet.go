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

// readyTimeout is the timeout from applying the release note until all entries are
// ready.
const readyTimeout = time.Minute

// A fleet is a running deployment and the keys of its workspaces.
type fleet struct {
	deployment *tester.Deployment
	keys       map[string]string // By workspace.
}

// startFleet starts the processes of a deployment and applies its declaration.
func startFleet(ctx context.Context, spec measurer.Deployment, cfg tester.DeploymentConfig) (f *fleet, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "start deployment %s", spec.Name)
		}
	}()

	cfg.FailureDomains = spec.FailureDomains
	cfg.DomainLatency = time.Duration(spec.DomainLatency)
	// Relays to the backend servers would take CPU time from the engines, and the
	// scenarios lose whole processes rather than connections.
	cfg.DirectBackendServers = true
	for _, e := range spec.Entries {
		cfg.Entries = append(cfg.Entries, tester.EntryConfig(e))
	}
	for _, s := range spec.BackendServers() {
		cfg.BackendServers = append(cfg.BackendServers, tester.BackendServerConfig{
			BackendServer: s,
			Arguments:     spec.Arguments(s.Name),
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
	return f, f.declare(ctx, spec)
}

// declare applies the release note through the first entry and waits until
// all entries are ready.
func (f *fleet) declare(ctx context.Context, spec measurer.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var keys []declarer.Key
	for _, w := range spec.Workspaces {
		f.keys[w.Name] = rand.Text()
		keys = append(keys, declarer.Key{
			Name:      w.Name,
			Workspace: w.Name,
			Digest:    f.deployment.KeyDigest(f.keys[w.Name]),
		})
	}
	note, err := spec.ReleaseNote(f.deployment.Declaration().BackendServers, keys)
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

// Begin implements measurer.FaultInjector.
func (f *fleet) Begin(ctx context.Context, fault measurer.Fault) error {
	switch fault.Kind {
	case measurer.PlatformDown:
		return f.deployment.Platform.SetFaults(ctx, platformemulator.Faults{Outage: platformemulator.OutageHang})
	case measurer.FailureDomainLost:
		return f.killDomain(ctx, fault.FailureDomain)
	default:
		return merry.Errorf("unknown fault %q", fault.Kind)
	}
}

// End implements measurer.FaultInjector.
func (f *fleet) End(ctx context.Context, fault measurer.Fault) error {
	switch fault.Kind {
	case measurer.PlatformDown:
		return f.deployment.Platform.SetFaults(ctx, platformemulator.Faults{})
	case measurer.FailureDomainLost:
		return f.restartDomain(ctx, fault.FailureDomain)
	default:
		return merry.Errorf("unknown fault %q", fault.Kind)
	}
}

// killDomain kills the processes of a failure domain and removes its instances
// from the platform's list.
func (f *fleet) killDomain(ctx context.Context, name string) error {
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

// restartDomain reverts killDomain.
func (f *fleet) restartDomain(ctx context.Context, name string) error {
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
