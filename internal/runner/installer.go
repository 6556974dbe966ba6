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

// errNotConfigured means that this instance has no configuration yet. Its text is
// sent to clients.
var errNotConfigured = merry.Sentinel("no configuration was received yet")

// A configurationInstaller applies a configuration revision to the components.
type configurationInstaller struct {
	authenticator *authenticator.Authenticator
	fleet         *registrar.Fleet
	leaser        *leaser.Leaser
	roster        *registrar.Roster
	sender        *sender.Sender
}

// Install implements publisher.Subscriber. Limits are applied before routes, so
// that a new workspace is never served without its rate limit.
func (i *configurationInstaller) Install(s publisher.Snapshot) {
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

// A configuration gives other components access to the current revision.
type configuration struct {
	publisher *publisher.Publisher
}

// Ready returns an error if the instance cannot serve requests yet.
func (c *configuration) Ready() error {
	if _, ok := c.publisher.Current(); !ok {
		return errNotConfigured
	}
	return nil
}

// Declaration returns the current declaration, if there is one.
func (c *configuration) Declaration() (d declarer.Declaration, ok bool) {
	s, ok := c.publisher.Current()
	return s.Declaration, ok
}

// Revision returns the current revision, or zero.
func (c *configuration) Revision() int64 {
	s, _ := c.publisher.Current()
	return s.Revision
}

// ObserveRevision records the revision that a peer reports.
func (c *configuration) ObserveRevision(peer string, revision int64) {
	c.publisher.ObserveRevision(peer, revision)
}

// An instanceLister reads the platform's list of instances and marks backend
// servers that are listed as leaving.
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
