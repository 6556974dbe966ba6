package tester

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// BackendServerConfig is the declaration of a backend server and the
// arguments of its emulator.
type BackendServerConfig struct {
	declarer.BackendServer          // The address is set by the deployment.
	Arguments              []string // Additional arguments of the emulator.
}

// arguments returns the command-line arguments of the emulator.
func (c BackendServerConfig) arguments() (arguments []string) {
	arguments = []string{string(c.Kind), "--name", c.Name}
	if c.Kind == declarer.Engine {
		arguments = append(arguments, "--capacity", strconv.Itoa(c.Capacity))
		for _, model := range c.Models {
			arguments = append(arguments, "--model", model)
		}
		if c.Fencing {
			arguments = append(arguments, "--fencing")
		}
	}
	return append(arguments, c.Arguments...)
}

// A BackendServerProcess is a model engine or a plain service of a deployment.
type BackendServerProcess struct {
	declarer.BackendServer // The address is the declared one.
	managedProcess

	deployment *Deployment
	router     *SourceRouter        // Nil when entries reach the server directly.
	port       *ReservedPort        // Nil unless entries reach the server directly.
	relays     map[string]*TCPRelay // By the failure domain of the entry; empty without router.
}

func newBackendServerProcess(d *Deployment, cfg BackendServerConfig) (b *BackendServerProcess, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "prepare backend server %s", cfg.Name)
		}
	}()

	b = &BackendServerProcess{
		BackendServer: cfg.BackendServer,
		deployment:    d,
		relays:        make(map[string]*TCPRelay),
	}
	b.command = Command{
		Name:        cfg.Name,
		Path:        d.cfg.Binaries.Emulator,
		Arguments:   cfg.arguments(),
		Environment: d.cfg.Environment,
		Folder:      d.cfg.Folder,
	}
	if d.cfg.DirectBackendServers {
		return b, b.openDirect()
	}
	return b, b.openRelays()
}

// openDirect reserves the port of the server, so that it keeps its declared
// address across restarts.
func (b *BackendServerProcess) openDirect() (err error) {
	if b.port, err = ReservePort(); err != nil {
		return err
	}
	b.Address = b.port.Address
	b.command.Arguments = append(b.command.Arguments, "--address", b.port.Address)
	return nil
}

// openRelays creates the router at the declared address and a relay for each
// failure domain.
func (b *BackendServerProcess) openRelays() (err error) {
	if b.router, err = NewSourceRouter(b.Name, b); err != nil {
		return err
	}
	b.Address = b.router.Address
	b.command.OnEnd = b.refuseConnections
	b.onListening = b.setTargets
	for _, domain := range b.deployment.FailureDomains {
		r, err := b.deployment.openTCPRelay(domain.Name+"-to-"+b.Name, domain.Name, b.FailureDomain)
		if err != nil {
			return err
		}
		b.relays[domain.Name] = r
	}
	return nil
}

// Relay returns the relay between a failure domain and the server, or nil
// when there is none.
func (b *BackendServerProcess) Relay(failureDomain string) *TCPRelay {
	return b.relays[failureDomain]
}

// ChooseRelay implements relayChooser. Connections that do not come from an
// entry, such as those of a test, reach the server directly.
func (b *BackendServerProcess) ChooseRelay(client, server netip.AddrPort) (address string, err error) {
	inode, err := tcpSocket(client, server)
	if err != nil {
		return "", err
	}
	if e := b.deployment.entryOfSocket(inode); e != nil {
		return b.relays[e.FailureDomain].Address, nil
	}
	return b.Addresses().HTTP, nil
}

// setTargets points the relays at a restarted server and accepts connections
// at the declared address.
func (b *BackendServerProcess) setTargets(a Addresses) error {
	for _, r := range b.relays {
		if err := r.SetTarget(a.HTTP); err != nil {
			return merry.Prependf(err, "set the relay target for backend server %s", b.Name)
		}
	}
	return b.router.Accept(context.Background())
}

// refuseConnections closes open connections and refuses new ones, as for a
// server that has ended.
func (b *BackendServerProcess) refuseConnections() {
	b.router.Refuse()
	for _, r := range b.relays {
		r.Refuse()
	}
}

func (b *BackendServerProcess) close() {
	b.managedProcess.close()
	if b.router != nil {
		b.router.Close()
	}
	if b.port != nil {
		b.port.Release()
	}
}
