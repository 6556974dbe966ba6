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

// parts are the objects of an entry.
type parts struct {
	store         Store
	links         *linker.Linker
	roster        *registrar.Roster
	fleet         *registrar.Fleet
	metrics       *reporter.Metrics
	spreader      *spreader
	publisher     *publisher.Publisher
	configuration *configuration
	leaser        *leaser.Leaser
	variant       variant
	heartbeater   *heartbeater.Heartbeater
	authenticator *authenticator.Authenticator
	sender        *sender.Sender
	prober        *sender.Prober
	retrier       *retrier.Retrier
	quarantiner   *quarantiner.Quarantiner
	recorder      *recorder.Recorder
	dispatcher    *dispatcher.Dispatcher
	folder        *archiver.Folder // Nil without a disk.
	archiver      *archiver.Archiver
	batcher       *batcher.Batcher
	keeper        *archiver.Reconciler // Nil without a disk.
	placer        *placer.Placer
	receiver      *receiver.Receiver
	acceptor      *acceptor.Acceptor
}

// base are the parts that run until the last request has ended.
func (p *parts) base() []part {
	list := []part{
		{name: "linker", starter: p.links},
		{name: "publisher", starter: p.publisher},
		{name: "leaser", starter: p.leaser},
		{name: "heartbeater", starter: p.heartbeater},
		{name: "prober", starter: p.prober},
		{name: "quarantiner", starter: p.quarantiner},
		{name: "recorder", starter: p.recorder},
		{name: "spreader", starter: p.spreader},
	}
	if p.keeper != nil {
		list = append(list, part{name: "keeper", starter: p.keeper})
	}
	return list
}

// work are the parts that stop as soon as the entry has to leave.
func (p *parts) work() []part {
	return []part{
		{name: "batcher", starter: p.batcher},
		{name: "placer", starter: p.placer},
	}
}

func (e *Entry) assemble() (err error) {
	if e.parts.metrics, err = reporter.NewMetrics(); err != nil {
		return err
	}
	e.assemblePlatform()
	if err := e.assembleLinks(); err != nil {
		return err
	}
	e.assembleControl()
	if err := e.assembleOnline(); err != nil {
		return err
	}
	if err := e.assembleBatch(); err != nil {
		return err
	}
	e.assemblePlacement()
	e.subscribe()
	return e.assembleFront()
}

func (e *Entry) meter(name string) metric.Meter {
	return e.parts.metrics.Meter(name)
}

func (e *Entry) assemblePlatform() {
	e.parts.store = e.options.Store
	if e.parts.store == nil {
		e.parts.store = storer.NewClient(storer.ClientConfig{
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
	e.parts.links, err = linker.New(linker.Config{
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
	e.parts.spreader = newSpreader(e.parts.links, e.options.Logger)
	return nil
}

// assembleControl makes what instances agree on: membership, configuration and
// rates.
func (e *Entry) assembleControl() {
	p := &e.parts
	p.fleet = registrar.NewFleet(e.options.Clock)
	p.roster = registrar.NewRoster(e.options.Clock, e.self(), e.seeds())
	p.publisher = publisher.New(publisher.Config{
		Store:  p.store,
		Peers:  p.links,
		Clock:  e.options.Clock,
		Logger: e.options.Logger,
	})
	p.configuration = &configuration{publisher: p.publisher}
	p.leaser = leaser.New(leaser.Config{
		InstanceID: e.settings.InstanceID,
		Clock:      e.options.Clock,
		Logger:     e.options.Logger,
		Store:      p.store,
		Caller:     p.links,
		Roster:     p.roster,
	})
	p.heartbeater = heartbeater.New(heartbeater.Config{
		Clock:     e.options.Clock,
		Logger:    e.options.Logger,
		Roster:    p.roster,
		Links:     p.links,
		Lister:    &instanceLister{store: p.store, fleet: p.fleet},
		Loads:     &sharedLoads{Fleet: p.fleet, parts: p},
		Revisions: p.configuration,
		Lendings:  p.leaser,
	})
	p.variant = e.variant()
	p.leaser.SetAnnouncer(p.heartbeater)
	p.leaser.Register(p.links)
	p.links.Handle(linker.KindHeartbeat, p.heartbeater)
	p.links.Handle(linker.KindSnapshot, p.publisher.SnapshotHandler())
	p.links.Handle(linker.KindSnapshotRequest, p.publisher.SnapshotRequestHandler())
}

func (e *Entry) self() registrar.Instance {
	return registrar.Instance{
		ID:            e.settings.InstanceID,
		FailureDomain: e.settings.FailureDomain,
		LinkAddress:   announced(e.settings.LinkAddress),
		HTTPAddress:   announced(e.settings.HTTPAddress),
		Disk:          e.settings.DataFolder != "",
	}
}

// announced is the address that peers are told. With a port that the operating
// system chooses they keep the one that the platform's list or their settings
// name, which may differ from the bound one.
func announced(address string) string {
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
	p := &e.parts
	p.authenticator = authenticator.New(authenticator.Config{
		Pepper:          []byte(e.settings.KeyPepper),
		OperatorDigests: e.settings.OperatorKeyDigests,
	})
	p.sender = sender.New(sender.Config{DialTimeout: time.Duration(e.settings.Deadlines.Connect)})
	p.prober = sender.NewProber(sender.ProberConfig{
		Fleet:  p.fleet,
		Sender: p.sender,
		Clock:  e.options.Clock,
	})
	p.retrier = retrier.New(retrier.Config{Clock: e.options.Clock, Announcer: p.spreader})
	p.quarantiner = quarantiner.New(quarantiner.Config{
		Store:   p.store,
		Learner: p.retrier,
		Clock:   e.options.Clock,
		Logger:  e.options.Logger,
	})
	p.spreader.observe = p.quarantiner.Observe
	p.recorder = recorder.New(e.settings.InstanceID, e.options.Clock.Now().UnixNano(), p.store, e.options.Clock)

	gate := &admission{admitter: p.variant.admitter, borrower: p.leaser.Borrower()}
	p.dispatcher, err = dispatcher.New(dispatcher.Config{
		Fleet:    p.fleet,
		Router:   p.variant.chooser,
		Retrier:  p.retrier,
		Sender:   p.sender,
		Prober:   p.prober,
		Admitter: gate,
		Intents:  &intentDesk{recorder: p.recorder},
		Permits:  gate,
		Clock:    e.options.Clock,
		Logger:   e.options.Logger,
		Meter:    e.meter("dispatcher"),
		OnYield:  p.spreader.askToYield,
		OnRoom:   newRoomNotifier(e.options.Clock, p.heartbeater.SendNow).notify,

		RoomMaker: p.variant.roomMaker,
	})
	if err != nil {
		return err
	}
	p.links.Handle(linker.KindSuspect, suspectHandler(p.retrier))
	p.links.Handle(linker.KindYield, yieldHandler(p.dispatcher.Yield))
	return nil
}

func (e *Entry) assembleBatch() (err error) {
	p := &e.parts
	if e.settings.DataFolder != "" {
		if p.folder, err = archiver.OpenFolder(e.settings.DataFolder); err != nil {
			return err
		}
	}
	p.archiver = archiver.New(archiver.Config{
		Instance: e.settings.InstanceID,
		Folder:   p.folder,
		Roster:   p.roster,
		Caller:   p.links,
		Clock:    e.options.Clock,
		Logger:   e.options.Logger,
	})
	line := &batchLine{dispatcher: p.dispatcher, fleet: p.fleet}
	p.batcher = batcher.New(batcher.Config{
		Instance: e.settings.InstanceID,
		Store:    p.store,
		Archive:  p.archiver,
		Runner:   line,
		Routes:   line,
		Order:    p.variant.order,
		Room:     p.leaser.Borrower().PermitsArrived(),
		Clock:    e.options.Clock,
		Logger:   e.options.Logger,
	})
	p.links.Handle(linker.KindObjectGet, &archiver.GetHandler{Folder: p.folder})
	p.links.Handle(linker.KindObjectPut, &archiver.PutHandler{Folder: p.folder})
	if p.folder != nil {
		p.keeper = archiver.NewReconciler(archiver.ReconcilerConfig{Archiver: p.archiver, Catalog: p.batcher})
	}
	return nil
}

func (e *Entry) assemblePlacement() {
	e.parts.placer = placer.New(placer.Config{
		Instance:      e.settings.InstanceID,
		Store:         e.parts.store,
		Engine:        orderer.New(),
		Configuration: e.parts.configuration,
		Clock:         e.options.Clock,
		Log:           e.options.Logger,
	})
}

func (e *Entry) subscribe() {
	e.parts.publisher.Subscribe(&installer{
		authenticator: e.parts.authenticator,
		fleet:         e.parts.fleet,
		leaser:        e.parts.leaser,
		roster:        e.parts.roster,
		sender:        e.parts.sender,
	})
}

func (e *Entry) operator() *operator.Operator {
	return operator.New(operator.Config{
		Configuration: e.parts.publisher,
		Roster:        e.parts.roster,
		Keys:          e.parts.authenticator,
		Logger:        e.options.Logger,
	})
}

func (e *Entry) assembleFront() (err error) {
	e.parts.receiver = receiver.New(receiver.Config{
		Keys:   &keyDesk{authenticator: e.parts.authenticator},
		Jobs:   e.parts.batcher,
		Clock:  e.options.Clock,
		Logger: e.options.Logger,
	})
	e.parts.acceptor, err = acceptor.New(acceptor.Config{
		Address:       e.settings.HTTPAddress,
		Routes:        e.parts.fleet,
		Authenticator: e.parts.authenticator,
		Dispatcher:    e.parts.dispatcher,
		Readiness:     e.parts.configuration,
		Metrics:       e.parts.metrics.Handler(),
		Mounters:      []acceptor.Mounter{e.operator(), e.parts.receiver},
		Logger:        e.options.Logger,
	})
	return err
}
