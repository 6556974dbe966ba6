package runner

import (
	"strings"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/heartbeater"
	"github.com/quetzalhitch/quetzalhitch/internal/intaker"
	"github.com/quetzalhitch/quetzalhitch/internal/limiter/leaser"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/operator"
	"github.com/quetzalhitch/quetzalhitch/internal/orderer"
	"github.com/quetzalhitch/quetzalhitch/internal/placer"
	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/quarantiner"
	"github.com/quetzalhitch/quetzalhitch/internal/receiver"
	"github.com/quetzalhitch/quetzalhitch/internal/recorder"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// components holds the objects that an entry consists of.
type components struct {
	store         Store
	links         *linker.Linker
	roster        *registrar.Roster
	fleet         *registrar.Fleet
	metrics       *reporter.Metrics
	broadcaster   *broadcaster
	publisher     *publisher.Publisher
	configuration *configuration
	leaser        *leaser.Leaser
	policies      policies
	heartbeater   *heartbeater.Heartbeater
	authenticator *authenticator.Authenticator
	sender        *sender.Sender
	prober        *sender.Prober
	retrier       *retrier.Retrier
	quarantiner   *quarantiner.Quarantiner
	parts         *retrier.Parts
	partKeeper    *quarantiner.Parts
	partAnnouncer *partAnnouncer
	recorder      *recorder.Recorder
	dispatcher    *dispatcher.Dispatcher
	folder        *archiver.Folder // Nil without a disk.
	archiver      *archiver.Archiver
	batcher       *batcher.Batcher
	reconciler    *archiver.Reconciler // Nil without a disk.
	placer        *placer.Placer
	receiver      *receiver.Receiver
	acceptor      *acceptor.Acceptor
	intake        *intaker.Budget
}

// core returns the components that run until the last request has ended. Their
// names appear in log lines and errors, and need not match the type names.
func (c *components) core() []component {
	list := []component{
		{name: "linker", starter: c.links},
		{name: "publisher", starter: c.publisher},
		{name: "leaser", starter: c.leaser},
		{name: "heartbeater", starter: c.heartbeater},
		{name: "prober", starter: c.prober},
		{name: "quarantiner", starter: c.quarantiner},
		{name: "part quarantiner", starter: c.partKeeper},
		{name: "part announcer", starter: c.partAnnouncer},
		{name: "recorder", starter: c.recorder},
		{name: "spreader", starter: c.broadcaster},
		{name: "intaker", starter: c.intake},
	}
	if c.reconciler != nil {
		list = append(list, component{name: "keeper", starter: c.reconciler})
	}
	return list
}

// background returns the components that stop as soon as the entry shuts down.
func (c *components) background() []component {
	return []component{
		{name: "batcher", starter: c.batcher},
		{name: "placer", starter: c.placer},
	}
}

func (e *Entry) assemble() (err error) {
	if e.components.metrics, err = reporter.NewMetrics(); err != nil {
		return err
	}
	e.assemblePlatform()
	if err := e.assembleLinks(); err != nil {
		return err
	}
	e.assembleControlPlane()
	if err := e.assembleOnline(); err != nil {
		return err
	}
	if err := e.assembleBatch(); err != nil {
		return err
	}
	e.assemblePlacer()
	e.subscribe()
	return e.assembleHTTP()
}

func (e *Entry) meter(name string) metric.Meter {
	return e.components.metrics.Meter(name)
}

func (e *Entry) assemblePlatform() {
	e.components.store = e.options.Store
	if e.components.store == nil {
		e.components.store = storer.NewClient(storer.ClientConfig{
			Address:      e.settings.PlatformAddress,
			ClientID:     e.settings.InstanceID,
			CallTimeout:  time.Duration(e.settings.Deadlines.PlatformCall),
			WatchTimeout: time.Duration(e.settings.Deadlines.PlatformWatch),
			Clock:        e.options.Clock,
		})
	}
}

func (e *Entry) assembleLinks() (err error) {
	tlsConfig := e.options.TLS
	if tlsConfig == nil {
		files := linker.KeyFiles{
			Authority:   e.settings.TLS.CAFile,
			Certificate: e.settings.TLS.CertificateFile,
			Key:         e.settings.TLS.KeyFile,
		}
		if tlsConfig, err = files.Load(); err != nil {
			return err
		}
	}
	e.components.links, err = linker.New(linker.Config{
		InstanceID:    e.settings.InstanceID,
		ListenAddress: e.settings.LinkAddress,
		TLS:           tlsConfig,
		Clock:         e.options.Clock,
		Logger:        e.options.Logger,
		Meter:         e.meter("linker"),
	})
	if err != nil {
		return err
	}
	e.components.broadcaster = newBroadcaster(e.components.links, e.options.Logger)
	return nil
}

// assembleControlPlane creates the components that share state with other
// instances: membership, configuration and rate limits.
func (e *Entry) assembleControlPlane() {
	c := &e.components
	c.fleet = registrar.NewFleet(e.options.Clock)
	c.roster = registrar.NewRoster(e.options.Clock, e.self(), e.seeds())
	c.publisher = publisher.New(publisher.Config{
		Store:  c.store,
		Peers:  c.links,
		Clock:  e.options.Clock,
		Logger: e.options.Logger,
	})
	c.configuration = &configuration{publisher: c.publisher}
	c.leaser = leaser.New(leaser.Config{
		InstanceID: e.settings.InstanceID,
		Clock:      e.options.Clock,
		Logger:     e.options.Logger,
		Store:      c.store,
		Caller:     c.links,
		Membership: c.roster,
	})
	c.heartbeater = heartbeater.New(heartbeater.Config{
		Clock:     e.options.Clock,
		Logger:    e.options.Logger,
		Roster:    c.roster,
		Links:     c.links,
		Lister:    &instanceLister{store: c.store, fleet: c.fleet},
		Loads:     &fleetLoads{Fleet: c.fleet, components: c},
		Revisions: c.configuration,
		Lendings:  c.leaser,
	})
	c.policies = e.selectPolicies()
	c.leaser.SetHeartbeatSender(c.heartbeater)
	c.leaser.Register(c.links)
	c.links.Handle(linker.KindHeartbeat, c.heartbeater)
	c.links.Handle(linker.KindSnapshot, c.publisher.SnapshotHandler())
	c.links.Handle(linker.KindSnapshotRequest, c.publisher.SnapshotRequestHandler())
}

func (e *Entry) self() registrar.Instance {
	return registrar.Instance{
		ID:            e.settings.InstanceID,
		FailureDomain: e.settings.FailureDomain,
		LinkAddress:   advertisedAddress(e.settings.LinkAddress),
		HTTPAddress:   advertisedAddress(e.settings.HTTPAddress),
		Disk:          e.settings.DataFolder != "",
	}
}

// advertisedAddress returns the address to send to peers. It is empty when the
// operating system chooses the port: peers then keep the address from the
// platform's list or their settings, which may differ from the bound one.
func advertisedAddress(address string) string {
	if strings.HasSuffix(address, ":0") {
		return ""
	}
	return address
}

func (e *Entry) seeds() (instances []registrar.Instance) {
	for _, seed := range e.settings.Peers() {
		instances = append(instances, registrar.Instance{
			ID:            seed.ID,
			FailureDomain: seed.FailureDomain,
			LinkAddress:   seed.Address,
		})
	}
	return instances
}

func (e *Entry) assembleOnline() (err error) {
	c := &e.components
	c.authenticator = authenticator.New(authenticator.Config{
		Pepper:          []byte(e.settings.KeyPepper),
		OperatorDigests: e.settings.OperatorKeyDigests,
	})
	c.sender = sender.New(sender.Config{DialTimeout: time.Duration(e.settings.Deadlines.Connect)})
	c.prober = sender.NewProber(sender.ProberConfig{
		Fleet:  c.fleet,
		Sender: c.sender,
		Clock:  e.options.Clock,
	})
	c.retrier = retrier.New(retrier.Config{Clock: e.options.Clock, Announcer: c.broadcaster})
	c.quarantiner = quarantiner.New(quarantiner.Config{
		Store:   c.store,
		Applier: c.retrier,
		Clock:   e.options.Clock,
		Logger:  e.options.Logger,
	})
	c.broadcaster.observe = c.quarantiner.Observe
	c.parts = retrier.NewParts(retrier.PartsConfig{Clock: e.options.Clock, Judge: retrier.ConfirmedLosses{}, Logger: e.options.Logger})
	c.partKeeper = quarantiner.NewParts(quarantiner.PartsConfig{
		Prefix: partQuarantinesPrefix, Store: quarantiner.SingleKeyStore{KeyStore: c.store}, Lister: c.store, Tracker: c.parts,
		Clock: e.options.Clock, Logger: e.options.Logger,
	})
	c.partAnnouncer = &partAnnouncer{parts: c.parts, broadcaster: c.broadcaster, clock: e.options.Clock}
	c.recorder = recorder.New(e.settings.InstanceID, e.options.Clock.Now().UnixNano(), c.store, e.options.Clock)

	admission := &admissionAdapter{admitter: c.policies.admitter, borrower: c.leaser.Borrower()}
	c.dispatcher, err = dispatcher.New(dispatcher.Config{
		Fleet:              c.fleet,
		Router:             c.policies.chooser,
		Retrier:            c.retrier,
		Parts:              c.parts,
		Trials:             c.partKeeper,
		Sender:             c.sender,
		Prober:             c.prober,
		Admitter:           admission,
		Intents:            &intentStore{recorder: c.recorder},
		Permits:            admission,
		Clock:              e.options.Clock,
		Logger:             e.options.Logger,
		Meter:              e.meter("dispatcher"),
		OnPreemptionNeeded: c.broadcaster.requestPreemption,
		OnCapacityFreed:    newCapacityNotifier(e.options.Clock, c.heartbeater.SendNow).notify,

		Preemptor: c.policies.preemptor,
	})
	if err != nil {
		return err
	}
	c.links.Handle(linker.KindSuspect, suspectHandler(c.retrier))
	c.links.Handle(linker.KindSuspectParts, partsHandler(c.parts))
	c.links.Handle(linker.KindYield, preemptionHandler(c.dispatcher.PreemptForPeer))
	return nil
}

func (e *Entry) assembleBatch() (err error) {
	c := &e.components
	if e.settings.DataFolder != "" {
		if c.folder, err = archiver.OpenFolder(e.settings.DataFolder); err != nil {
			return err
		}
	}
	c.archiver = archiver.New(archiver.Config{
		Instance: e.settings.InstanceID,
		Folder:   c.folder,
		Roster:   c.roster,
		Caller:   c.links,
		Clock:    e.options.Clock,
		Logger:   e.options.Logger,
	})
	adapter := &batchAdapter{dispatcher: c.dispatcher, fleet: c.fleet}
	c.batcher = batcher.New(batcher.Config{
		Instance:      e.settings.InstanceID,
		Store:         c.store,
		Archive:       c.archiver,
		Runner:        adapter,
		Routes:        adapter,
		Policy:        c.policies.schedulerPolicy,
		CapacityFreed: c.leaser.Borrower().PermitsLent(),
		Clock:         e.options.Clock,
		Logger:        e.options.Logger,
	})
	c.links.Handle(linker.KindObjectGet, &archiver.GetHandler{Folder: c.folder})
	c.links.Handle(linker.KindObjectPut, &archiver.PutHandler{Folder: c.folder})
	if c.folder != nil {
		c.reconciler = archiver.NewReconciler(archiver.ReconcilerConfig{Archiver: c.archiver, Catalog: c.batcher})
	}
	return nil
}

func (e *Entry) assemblePlacer() {
	e.components.placer = placer.New(placer.Config{
		Instance:      e.settings.InstanceID,
		Store:         e.components.store,
		Engine:        orderer.New(),
		Configuration: e.components.configuration,
		Clock:         e.options.Clock,
		Log:           e.options.Logger,
	})
}

func (e *Entry) subscribe() {
	e.components.publisher.Subscribe(&configurationInstaller{
		authenticator: e.components.authenticator,
		fleet:         e.components.fleet,
		leaser:        e.components.leaser,
		roster:        e.components.roster,
		sender:        e.components.sender,
	})
}

func (e *Entry) operator() *operator.Operator {
	return operator.New(operator.Config{
		Configuration: e.components.publisher,
		Roster:        e.components.roster,
		Keys:          e.components.authenticator,
		Logger:        e.options.Logger,
	})
}

func (e *Entry) assembleHTTP() (err error) {
	e.components.receiver = receiver.New(receiver.Config{
		Keys:   &keyResolver{authenticator: e.components.authenticator},
		Jobs:   e.components.batcher,
		Clock:  e.options.Clock,
		Logger: e.options.Logger,

		MaxUploads: receiver.MaxUploads(e.settings.MemoryMB),
	})
	e.components.intake = intaker.NewBudget(e.settings.MemoryMB, e.options.Clock, e.options.Logger)
	if err := e.components.intake.Register(e.meter("intaker")); err != nil {
		return err
	}
	e.components.acceptor, err = acceptor.New(acceptor.Config{
		Gate:          &intaker.Gate{Budget: e.components.intake, MaxConns: intaker.CallerConns(e.settings.MemoryMB, e.settings.MaxFDs)},
		Address:       e.settings.HTTPAddress,
		Routes:        e.components.fleet,
		Authenticator: e.components.authenticator,
		Dispatcher:    e.components.dispatcher,
		Readiness:     e.components.configuration,
		Metrics:       e.components.metrics.Handler(),
		Mounters:      []acceptor.Mounter{e.operator(), e.components.receiver},
		Logger:        e.options.Logger,
	})
	return err
}
