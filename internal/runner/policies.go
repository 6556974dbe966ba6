package runner

import (
	"context"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

// A chooser selects the backend server of a request.
type chooser interface {
	Choose(pool *registrar.Pool, q router.Query) (router.Decision, error)
}

// An admitter decides whether a request is within the rate limit of its
// workspace.
type admitter interface {
	Admit(ctx context.Context, workspace string) limiter.Decision
}

// policies are the algorithms of an entry that can be replaced. Each experimental
// baseline replaces one of them.
type policies struct {
	chooser         chooser
	admitter        admitter
	preemptor       dispatcher.Preemptor // Nil for the dispatcher's default.
	schedulerPolicy scheduler.Policy     // Nil for the scheduler's default.
}

// selectPolicies returns the policies for the configured baseline. The leaser and
// the publisher must exist already.
func (e *Entry) selectPolicies() (p policies) {
	routerConfig := router.Config{FailureDomain: e.settings.FailureDomain, Region: e.settings.Region, EntryPosition: e.position}
	p = policies{chooser: router.New(routerConfig), admitter: e.components.leaser.Borrower()}
	switch e.settings.Experimental.Baseline {
	case configurer.EqualShares:
		// In deployments for measurements, the settings list all entries as peers.
		shares := limiter.NewEqualShares(e.options.Clock, len(e.settings.Peers())+1)
		e.components.publisher.Subscribe(&equalSharesInstaller{shares: shares})
		p.admitter = shares
	case configurer.FirstCome:
		p.schedulerPolicy = scheduler.FIFOPolicy{}
	case configurer.NoPreemption:
		p.preemptor = dispatcher.NoPreemption{}
	case configurer.RoundRobin:
		p.chooser = router.NewRoundRobin(routerConfig)
	}
	return p
}

// position returns the index of this entry, by ID, among the live entries that
// are not leaving, and their number.
func (e *Entry) position() (index, count int) {
	count = 1
	for _, instance := range e.components.roster.Live() {
		if instance.ID == e.settings.InstanceID || instance.Leaving {
			continue
		}
		count++
		if instance.ID < e.settings.InstanceID {
			index++
		}
	}
	return index, count
}

// An equalSharesInstaller applies the workspaces of a revision to equal shares.
type equalSharesInstaller struct {
	shares *limiter.EqualShares
}

// Install implements publisher.Subscriber.
func (i *equalSharesInstaller) Install(s publisher.Snapshot) {
	i.shares.Install(s.Declaration)
}
