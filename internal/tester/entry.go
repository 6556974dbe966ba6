package tester

import (
	"context"
	"net/netip"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

// anyPort is a loopback address whose port the operating system chooses.
const anyPort = "127.0.0.1:0"

// EntryConfig describes an entry of a deployment.
type EntryConfig struct {
	ID            string
	FailureDomain string
	Disk          bool // Gives the entry a data folder.
}

// An EntryProcess is an entry of a deployment.
type EntryProcess struct {
	EntryConfig
	managedProcess

	PlatformRelay *TCPRelay
	LinkRouter    *UDPRelay // Its address is the link address that all peers use.
	Settings      Settings

	deployment   *Deployment
	settingsPath string
	incoming     map[string]*UDPRelay // Relays behind the router, by the ID of the dialing peer.
}

func newEntryProcess(ctx context.Context, d *Deployment, cfg EntryConfig) (e *EntryProcess, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "prepare entry %s", cfg.ID)
		}
	}()

	domain := d.FailureDomain(cfg.FailureDomain)
	if domain == nil {
		return nil, merry.Errorf("no failure domain %q", cfg.FailureDomain)
	}
	certificate, err := d.Authority.Issue(cfg.ID)
	if err != nil {
		return nil, err
	}
	e = &EntryProcess{
		EntryConfig:  cfg,
		deployment:   d,
		incoming:     make(map[string]*UDPRelay),
		settingsPath: filepath.Join(d.cfg.Folder, cfg.ID+".toml"),
	}
	if e.PlatformRelay, err = NewTCPRelay(cfg.ID+"-to-platform", ""); err != nil {
		return nil, err
	}
	d.tcpRelays = append(d.tcpRelays, e.PlatformRelay)
	if e.LinkRouter, err = NewUDPSourceRouter(ctx, "links-to-"+cfg.ID, e); err != nil {
		return nil, err
	}
	d.udpRelays = append(d.udpRelays, e.LinkRouter)
	e.Settings = d.entrySettings(cfg, domain, certificate)
	e.Settings.PlatformAddress = e.PlatformRelay.Address
	e.command = Command{
		Name:        cfg.ID,
		Path:        d.cfg.Binaries.Entry,
		Arguments:   entryArguments(e.settingsPath),
		Environment: d.cfg.Environment,
		Folder:      d.cfg.Folder,
	}
	e.onListening = e.setTargets
	return e, nil
}

// entrySettings returns the settings without the addresses of relays.
func (d *Deployment) entrySettings(cfg EntryConfig, domain *FailureDomain, c Certificate) Settings {
	s := Settings{
		InstanceID:         cfg.ID,
		FailureDomain:      cfg.FailureDomain,
		Region:             domain.Region,
		HTTPAddress:        anyPort,
		LinkAddress:        anyPort,
		KeyPepper:          d.KeyPepper,
		OperatorKeyDigests: []string{KeyDigest(d.KeyPepper, d.OperatorKey)},
		DrainDelay:         durationText(d.cfg.DrainDelay),
		TLS:                TLSSettings(c),
	}
	if cfg.Disk {
		s.DataFolder = filepath.Join(d.cfg.Folder, cfg.ID+"-data")
	}
	if d.cfg.Baseline != "" {
		s.Experimental = &ExperimentalSettings{Baseline: d.cfg.Baseline}
	}
	return s
}

// ChooseTarget implements targetChooser. Datagrams that do not come from
// another entry, such as those of a test, reach the entry directly.
func (e *EntryProcess) ChooseTarget(client netip.AddrPort) (address string, err error) {
	inode, err := udpSocket(client)
	if err != nil {
		return "", err
	}
	if peer := e.deployment.entryOfSocket(inode); peer != nil && peer != e {
		return e.incoming[peer.ID].Address, nil
	}
	return e.Addresses().Link, nil
}

// setTargets points the relays of the peers at a restarted entry.
func (e *EntryProcess) setTargets(a Addresses) error {
	for _, r := range e.incoming {
		if err := r.SetTarget(a.Link); err != nil {
			return merry.Prependf(err, "set the relay target for entry %s", e.ID)
		}
	}
	return nil
}
