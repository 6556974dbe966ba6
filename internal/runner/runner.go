// Package runner assembles an entry instance and runs it until it shuts down.
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

// leaseReturnTimeout bounds the return of leases at shutdown, as the platform and
// the peers may not answer.
const leaseReturnTimeout = 5 * time.Second

// A Store is the platform's key-value service as used by an entry.
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

// Options are the parameters of an entry besides its settings.
type Options struct {
	Clock  clockwork.Clock
	Logger logrus.FieldLogger
	Store  Store       // Nil for the platform given in the settings.
	TLS    *tls.Config // Nil for the key files given in the settings.
	Output io.Writer   // Receives one line of JSON with the addresses; may be nil.
}

// Addresses are the addresses that an entry listens on.
type Addresses struct {
	HTTP string `json:"http"`
	Link string `json:"link"`
}

// A listeningReport is the JSON line that an entry writes once it listens.
type listeningReport struct {
	Listening Addresses `json:"listening"`
}

// An Entry is an entry instance in this process.
type Entry struct {
	settings   configurer.Settings
	options    Options
	components components
}

// New assembles an entry and binds its addresses, which Run releases.
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

// Addresses returns the addresses that the entry listens on.
func (e *Entry) Addresses() Addresses {
	return Addresses{HTTP: e.components.acceptor.Address(), Link: e.components.links.Address()}
}

// Run serves until ctx ends, and then shuts down gracefully: it drains running
// requests and returns leases and claims. The error is that of a component that
// ended unexpectedly, or reports that draining timed out.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "run entry %q", e.settings.InstanceID)
		}
	}()

	failed := make(chan error, 1)
	log := e.options.Logger
	core := startGroup(ctx, log, failed, e.components.core()...)
	defer core.stop()
	background := startGroup(ctx, log, failed, e.components.background()...)
	defer background.stop()
	http := startGroup(ctx, log, failed, component{name: "acceptor", starter: e.components.acceptor})
	defer http.stop()

	if err := e.writeAddresses(); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{
		"http-address": e.Addresses().HTTP,
		"link-address": e.Addresses().Link,
	}).Info("entry is listening")

	select {
	case <-ctx.Done():
		return e.shutDown(context.WithoutCancel(ctx), background)
	case err := <-failed:
		log.WithError(err).Error("a component ended unexpectedly")
		return err
	}
}

func (e *Entry) writeAddresses() error {
	if e.options.Output == nil {
		return nil
	}
	return json.NewEncoder(e.options.Output).Encode(listeningReport{Listening: e.Addresses()})
}

// shutDown drains the entry, so that running requests can end, and returns its
// leases and claims.
func (e *Entry) shutDown(ctx context.Context, background *componentGroup) (err error) {
	log := e.options.Logger
	log.Info("entry is shutting down")
	e.components.roster.SetLeaving()
	e.components.heartbeater.SendNow()
	e.components.acceptor.Drain()
	background.stop() // Returns claims and the placement lease.

	// Load balancers need this time to notice; new requests are still served.
	<-e.options.Clock.After(time.Duration(e.settings.DrainDelay))

	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.Deadlines.Drain))
	defer cancel()
	err = e.components.acceptor.Shutdown(drainCtx)
	e.components.receiver.Close()
	if err == nil {
		e.components.dispatcher.Wait()
	}

	returnCtx, cancelReturn := context.WithTimeout(ctx, leaseReturnTimeout)
	defer cancelReturn()
	e.components.leaser.Leave(returnCtx)
	log.Info("entry has shut down")
	return err
}
