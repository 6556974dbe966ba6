package runner

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/limiter/leaser"
	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// errNotConfigured means that no revision is in force in this instance.
var errNotConfigured = merry.Sentinel("no configuration was received yet")

// An installer puts a revision into force in the parts of an entry.
type installer struct {
	authenticator *authenticator.Authenticator
	fleet         *registrar.Fleet
	leaser        *leaser.Leaser
	roster        *registrar.Roster
	sender        *sender.Sender
}

// Install implements publisher.Subscriber. Limits come before routes, so that
// a new workspace is never served without its rate.
func (i *installer) Install(s publisher.Snapshot) {
	i.leaser.Install(s.Declaration)
	i.fleet.Install(s.Declaration)
	i.authenticator.Install(s.Declaration)

	addresses := make([]string, 0, len(s.Declaration.BackendServers))
	for _, server := range s.Declaration.BackendServers {
		addresses = append(addresses, server.Address)
	}
	i.sender.Retain(addresses)
	i.roster.ConfirmRevision(s.Revision)
}

// A configuration gives other parts the revision in force.
type configuration struct {
	publisher *publisher.Publisher
}

// Ready returns why the instance cannot serve yet, or nil.
func (c *configuration) Ready() error {
	if _, ok := c.publisher.Current(); !ok {
		return errNotConfigured
	}
	return nil
}

// Declaration is the declaration in force.
func (c *configuration) Declaration() (d declarer.Declaration, ok bool) {
	s, ok := c.publisher.Current()
	return s.Declaration, ok
}

// Revision is the revision in force, or zero.
func (c *configuration) Revision() int64 {
	s, _ := c.publisher.Current()
	return s.Revision
}

// ObserveRevision takes over what a peer says about its revision.
func (c *configuration) ObserveRevision(peer string, revision int64) {
	c.publisher.ObserveRevision(peer, revision)
}

// An instanceLister reads the platform's list and marks backend servers that
// it calls leaving.
type instanceLister struct {
	store Store
	fleet *registrar.Fleet
}

// ListInstances returns the platform's list.
func (l *instanceLister) ListInstances(ctx context.Context) ([]storer.ListedInstance, error) {
	rows, err := l.store.ListInstances(ctx)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if row.Role != storer.RoleBackendServer {
			continue
		}
		if server, ok := l.fleet.Server(row.ID); ok {
			server.SetLeaving(registrar.LeavingByList, row.State == storer.InstanceLeaving)
		}
	}
	return rows, nil
}
