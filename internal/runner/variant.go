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

// A chooser picks the backend server of a request.
type chooser interface {
	Choose(pool *registrar.Pool, q router.Query) (router.Decision, error)
}

// An admitter decides whether a request is inside its workspace's rate.
type admitter interface {
	Admit(ctx context.Context, workspace string) limiter.Decision
}

// A variant is the behaviour that a baseline replaces. All decisions but one
// are those of the system.
type variant struct {
	chooser   chooser
	admitter  admitter
	roomMaker dispatcher.Preemptor // Nil for the dispatcher's own.
	order     scheduler.Policy     // Nil for the scheduler's own.
}

// variant returns the behaviour that the settings choose. It needs the leaser
// and the publisher.
func (e *Entry) variant() (v variant) {
	place := router.Config{FailureDomain: e.settings.FailureDomain, Region: e.settings.Region, EntryPosition: e.place}
	v = variant{chooser: router.New(place), admitter: e.parts.leaser.Borrower()}
	switch e.settings.Experimental.Baseline {
	case configurer.EqualShares:
		// The settings of a measured deployment name all entries as seeds.
		shares := limiter.NewEqualShares(e.options.Clock, len(e.settings.Peers())+1)
		e.parts.publisher.Subscribe(&shareInstaller{shares: shares})
		v.admitter = shares
	case configurer.FirstCome:
		v.order = scheduler.FIFOPolicy{}
	case configurer.NoYield:
		v.roomMaker = dispatcher.NoPreemption{}
	case configurer.RoundRobin:
		v.chooser = router.NewRoundRobin(place)
	}
	return v
}

// place is the position of this entry among the live ones that do not leave, by
// their IDs.
func (e *Entry) place() (index, count int) {
	count = 1
	for _, instance := range e.parts.roster.Live() {
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

// A shareInstaller puts the workspaces of a revision into force in equal
// shares.
type shareInstaller struct {
	shares *limiter.EqualShares
}

// Install implements publisher.Subscriber.
func (i *shareInstaller) Install(s publisher.Snapshot) {
	i.shares.Install(s.Declaration)
}
