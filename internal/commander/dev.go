package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/runner"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	devKey          = "dev-workspace-key"
	devOperatorKey  = "dev-operator-key"
	devPepper       = "pepper for development only"
	devRegion       = "local"
	devDrainDelay   = 100 * time.Millisecond
	devApplyTimeout = 10 * time.Second
)

// devDomains are the failure domains of the example. Each has one entry.
var devDomains = []string{"local-a", "local-b"}

// A DevCmd runs two entries, a platform and example backend servers in this
// process.
type DevCmd struct {
	Address string `arg:"--address" default:"127.0.0.1" help:"IP address to listen on"`
	Port    int    `arg:"--port" default:"8080" help:"port of the first entry; the second uses the next port, and 0 selects free ports"`
	Data    string `arg:"--data" placeholder:"FOLDER" help:"folder for bulk data; a temporary folder by default"`
	Log     string `arg:"--log" default:"warning" help:"log level: debug, error, info or warning"`
}

func (c *DevCmd) run(stdout, stderr io.Writer) (err error) {
	logger, err := reporter.NewLogger(reporter.LogConfig{Format: reporter.FormatText, Level: c.Log}, stderr)
	if err != nil {
		return err
	}
	folder, remove, err := c.folder()
	if err != nil {
		return err
	}
	defer remove()

	limitMemory(configurer.Defaults().MemoryMB)
	ctx, cancel := signalContext()
	defer cancel()
	d := &devDeployment{cmd: c, folder: folder, logger: logger, clock: clockwork.NewRealClock()}
	return d.run(ctx, stdout)
}

func (c *DevCmd) folder() (folder string, remove func(), err error) {
	if c.Data != "" {
		return c.Data, func() {}, nil
	}
	folder, err = os.MkdirTemp("", "quetzalhitch-dev-")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}

// A devDeployment is a whole deployment in one process.
type devDeployment struct {
	cmd     *DevCmd
	folder  string
	logger  *logrus.Logger
	clock   clockwork.Clock
	store   *storer.Memory
	servers []declarer.BackendServer
	entries []*runner.Entry
}

func (d *devDeployment) run(ctx context.Context, stdout io.Writer) (err error) {
	serversCtx, stopServers := context.WithCancel(context.WithoutCancel(ctx))
	d.store = storer.NewMemory(d.clock)
	results, err := d.startServers(serversCtx)
	defer func() {
		stopServers()
		for _, result := range results {
			err = errors.Join(err, <-result)
		}
	}()
	if err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	if err := d.assembleEntries(); err != nil {
		return err
	}

	running := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	for _, e := range d.entries {
		running.Go(e.Run)
	}
	d.printUsage(stdout)
	return running.Wait()
}

// An emulator is an emulated backend server.
type emulator interface {
	Open() error
	Address() string
	Start(ctx context.Context) <-chan error
}

func (d *devDeployment) startServers(ctx context.Context) (results []<-chan error, err error) {
	for _, domain := range devDomains {
		engine := declarer.BackendServer{
			Name: "example-engine-" + domain, Kind: declarer.Engine, FailureDomain: domain,
			Models: []string{"example-lm"}, Capacity: 8, BatchBound: 6, Fencing: true,
		}
		service := declarer.BackendServer{
			Name: "example-service-" + domain, Kind: declarer.Service, FailureDomain: domain,
			Service: "label-api", Capacity: 64,
		}
		emulators := map[*declarer.BackendServer]emulator{
			&engine:  engineemulator.New(engineemulator.Config{Name: engine.Name, Address: "127.0.0.1:0", Models: engine.Models, Capacity: engine.Capacity, Fencing: true}),
			&service: serviceemulator.New(serviceemulator.Config{Name: service.Name, Address: "127.0.0.1:0"}),
		}
		for server, e := range emulators {
			if err := e.Open(); err != nil {
				return results, err
			}
			server.Address = e.Address()
			d.servers = append(d.servers, *server)
			results = append(results, e.Start(ctx))
		}
	}
	return results, nil
}

// apply publishes the example declaration before the entries start.
func (d *devDeployment) apply(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "example declaration")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, devApplyTimeout)
	defer cancel()
	digest := authenticator.New(authenticator.Config{Pepper: []byte(devPepper)}).Digest(devKey)
	note := declarer.ReleaseNote{Title: "example"}
	note.Added.FailureDomains = []declarer.FailureDomain{
		{Name: devDomains[0], Region: devRegion},
		{Name: devDomains[1], Region: devRegion},
	}
	note.Added.Models = []declarer.Model{{Name: "example-lm"}}
	note.Added.BackendServers = d.servers
	note.Added.Workspaces = []declarer.Workspace{{Name: "example", Rate: 50, Burst: 100}}
	note.Added.Keys = []declarer.Key{{Name: "example", Workspace: "example", Digest: digest}}
	note.Added.Routes = []declarer.Route{
		{Name: "chat", Model: "example-lm", Idempotent: true, Batch: true},
		{Name: "label", Service: "label-api", Idempotent: true},
		{Name: "order", Service: "label-api"},
	}
	p := publisher.New(publisher.Config{Store: d.store, Clock: d.clock, Logger: d.logger})
	_, err = p.Apply(ctx, note, false)
	return err
}

func (d *devDeployment) assembleEntries() (err error) {
	authority, err := linker.NewAuthority(d.clock.Now())
	if err != nil {
		return err
	}
	digest := authenticator.New(authenticator.Config{Pepper: []byte(devPepper)}).Digest(devOperatorKey)
	for n, domain := range devDomains {
		settings := configurer.Defaults()
		settings.InstanceID = fmt.Sprintf("entry-%d", n+1)
		settings.FailureDomain = domain
		settings.Region = devRegion
		settings.HTTPAddress = fmt.Sprintf("%s:%d", d.cmd.Address, d.cmd.port(n))
		settings.LinkAddress = "127.0.0.1:0"
		settings.DataFolder = filepath.Join(d.folder, settings.InstanceID)
		settings.KeyPepper = configurer.Secret(devPepper)
		settings.OperatorKeyDigests = []string{digest}
		settings.DrainDelay = declarer.Duration(devDrainDelay)

		credentials, err := authority.Issue(settings.InstanceID)
		if err != nil {
			return err
		}
		tlsConfig, err := credentials.TLS()
		if err != nil {
			return err
		}
		entry, err := runner.New(settings, runner.Options{Clock: d.clock, Logger: d.logger, Store: d.store, TLS: tlsConfig})
		if err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
		d.store.SetInstance(storer.ListedInstance{
			ID:            settings.InstanceID,
			Role:          storer.RoleEntry,
			State:         storer.InstanceLive,
			FailureDomain: domain,
			LinkAddress:   entry.Addresses().Link,
			HTTPAddress:   entry.Addresses().HTTP,
			Disk:          true,
		})
	}
	return nil
}

func (c *DevCmd) port(n int) int {
	if c.Port == 0 {
		return 0
	}
	return c.Port + n
}

func (d *devDeployment) printUsage(w io.Writer) {
	address := d.entries[0].Addresses().HTTP
	fmt.Fprintf(w, "quetzalhitch runs two entries: http://%s and http://%s\n", address, d.entries[1].Addresses().HTTP)
	fmt.Fprintf(w, "workspace key: %s, operator key: %s\n\nTry:\n\n", devKey, devOperatorKey)
	fmt.Fprintf(w, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"example-lm\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Which melt grades are in stock?\"}]}'\n", address, devKey)
	fmt.Fprintf(w, "curl http://%s/services/label/labels/17 -H 'Authorization: Bearer %s'\n", address, devKey)
}
