// Package runner assembles an entry instance and runs it until it has to
// leave.
package runner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// leaveTimeout bounds the hand-back of contracts to a platform or to peers
// that may not answer.
const leaveTimeout = 5 * time.Second

// A Store is the platform as an entry uses it.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	Delete(ctx context.Context, key string, expectedVersion int64) error
	Watch(ctx context.Context, key string, afterVersion int64) (storer.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
	ListInstances(ctx context.Context) ([]storer.ListedInstance, error)
}

// Options are what an entry takes besides its settings.
type Options struct {
	Clock  clockwork.Clock
	Logger logrus.FieldLogger
	Store  Store       // Nil for the platform that the settings name.
	TLS    *tls.Config // Nil for the key files that the settings name.
	Output io.Writer   // Receives a line of JSON with the addresses.
}

// Addresses are where an entry listens.
type Addresses struct {
	HTTP string `json:"http"`
	Link string `json:"link"`
}

// A listeningReport is the line that an entry writes once it listens.
type listeningReport struct {
	Listening Addresses `json:"listening"`
}

// An Entry is an entry instance in this process.
type Entry struct {
	settings configurer.Settings
	options  Options
	parts    parts
}

// New assembles an entry and binds its addresses. Run has to be called to
// release them.
func New(settings configurer.Settings, options Options) (e *Entry, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "assemble entry %q", settings.InstanceID)
		}
	}()

	options.Logger = options.Logger.WithField("instance", settings.InstanceID)
	e = &Entry{settings: settings, options: options}
	if err := e.assemble(); err != nil {
		return nil, err
	}
	return e, nil
}

// Addresses returns where the entry listens.
func (e *Entry) Addresses() Addresses {
	return Addresses{HTTP: e.parts.acceptor.Address(), Link: e.parts.links.Address()}
}

// Run serves until ctx ends, and then leaves: running requests end, and
// contracts and claims are handed back. The error tells what ended the entry
// without being asked, or what was cut.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "run entry %q", e.settings.InstanceID)
		}
	}()

	failed := make(chan error, 1)
	log := e.options.Logger
	base := startStage(ctx, log, failed, e.parts.base()...)
	defer base.stop()
	work := startStage(ctx, log, failed, e.parts.work()...)
	defer work.stop()
	front := startStage(ctx, log, failed, part{name: "acceptor", starter: e.parts.acceptor})
	defer front.stop()

	if err := e.report(); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{
		"http-address": e.Addresses().HTTP,
		"link-address": e.Addresses().Link,
	}).Info("entry listens")

	select {
	case <-ctx.Done():
		return e.leave(context.WithoutCancel(ctx), work)
	case err := <-failed:
		log.WithError(err).Error("a part of the entry ended")
		return err
	}
}

func (e *Entry) report() error {
	if e.options.Output == nil {
		return nil
	}
	return json.NewEncoder(e.options.Output).Encode(listeningReport{Listening: e.Addresses()})
}

// leave takes the entry out of service without cutting a request.
func (e *Entry) leave(ctx context.Context, work *stage) (err error) {
	log := e.options.Logger
	log.Info("entry leaves")
	e.parts.roster.SetLeaving()
	e.parts.heartbeater.SendNow()
	e.parts.acceptor.Drain()
	work.stop() // Hands back claims and the placement lease.

	// The balancer needs this time to notice; requests that come are served.
	<-e.options.Clock.After(time.Duration(e.settings.DrainDelay))

	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.Deadlines.Drain))
	defer cancel()
	err = e.parts.acceptor.Shutdown(drainCtx)
	e.parts.receiver.Close()
	if err == nil {
		e.parts.dispatcher.Wait()
	}

	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	e.parts.leaser.Leave(leaveCtx)
	log.Info("entry left")
	return err
}
