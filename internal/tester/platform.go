package tester

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// platformName is the name of the platform's process.
const platformName = "platform"

// A PlatformProcess is the emulated platform of a deployment. Each entry
// reaches it through its own relay.
type PlatformProcess struct {
	managedProcess

	relays []*TCPRelay
}

func newPlatformProcess(cfg DeploymentConfig) *PlatformProcess {
	p := &PlatformProcess{}
	p.command = Command{
		Name:        platformName,
		Path:        cfg.Binaries.Emulator,
		Arguments:   append([]string{"platform"}, cfg.PlatformArguments...),
		Environment: cfg.Environment,
		Folder:      cfg.Folder,
		OnEnd:       p.refuseConnections,
	}
	p.onListening = p.setTargets
	return p
}

// setTargets points the relays at a restarted platform.
func (p *PlatformProcess) setTargets(a Addresses) error {
	for _, r := range p.relays {
		if err := r.SetTarget(a.HTTP); err != nil {
			return merry.Prepend(err, "set the relay target for the platform")
		}
	}
	return nil
}

// refuseConnections closes open connections and refuses new ones, as for a
// server that has ended.
func (p *PlatformProcess) refuseConnections() {
	for _, r := range p.relays {
		r.Refuse()
	}
}

// SetFaults replaces the faults of the platform emulator for all clients.
func (p *PlatformProcess) SetFaults(ctx context.Context, f platformemulator.Faults) error {
	return p.callControl(ctx, http.MethodPost, platformemulator.PathFault, f)
}

// SetInstance adds an instance to the platform's list or replaces it.
func (p *PlatformProcess) SetInstance(ctx context.Context, row storer.ListedInstance) error {
	return p.callControl(ctx, http.MethodPut, instancePath(row.ID), row)
}

// RemoveInstance removes an instance from the platform's list.
func (p *PlatformProcess) RemoveInstance(ctx context.Context, id string) error {
	return p.callControl(ctx, http.MethodDelete, instancePath(id), nil)
}

func instancePath(id string) string {
	return storer.PathInstances + "/" + url.PathEscape(id)
}

// callControl calls the control server of the platform emulator, bypassing all
// relays.
func (p *PlatformProcess) callControl(ctx context.Context, method, path string, content any) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "platform control: %s %s", method, path)
		}
	}()

	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	address := "http://" + p.Addresses().Control + path
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	status, answer, err := call(req)
	if err == nil && status != http.StatusOK {
		err = merry.Errorf("status %d: %s", status, answer)
	}
	return err
}

// listInstances adds all entries and backend servers to the platform's list as
// live, with the addresses of their relays.
func (d *Deployment) listInstances(ctx context.Context) error {
	for _, e := range d.Entries {
		if err := d.Platform.SetInstance(ctx, e.Row()); err != nil {
			return err
		}
	}
	for _, b := range d.BackendServers {
		if err := d.Platform.SetInstance(ctx, b.Row()); err != nil {
			return err
		}
	}
	return nil
}

// Row returns the entry's row in the platform's list.
func (e *EntryProcess) Row() storer.ListedInstance {
	return storer.ListedInstance{
		ID:            e.ID,
		Role:          storer.RoleEntry,
		State:         storer.InstanceLive,
		FailureDomain: e.FailureDomain,
		LinkAddress:   e.LinkRouter.Address,
		HTTPAddress:   e.Addresses().HTTP,
		Disk:          e.Disk,
	}
}

// Row returns the backend server's row in the platform's list.
func (b *BackendServerProcess) Row() storer.ListedInstance {
	return storer.ListedInstance{
		ID:            b.Name,
		Role:          storer.RoleBackendServer,
		State:         storer.InstanceLive,
		FailureDomain: b.FailureDomain,
		HTTPAddress:   b.Address,
	}
}
