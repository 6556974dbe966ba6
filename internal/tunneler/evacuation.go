package tunneler

import (
	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// checkEvacuation returns a failure if the domain of the server has been evacuated since
// the placement. A placement may be seconds old when its attempt goes to another peer.
func (t *Tunneler) checkEvacuation(a forwarder.Attempt) error {
	if t.cfg.Evacuations == nil || !t.cfg.Evacuations.Evacuated(a.Backend.FailureDomain) {
		return nil
	}
	t.cfg.Evacuations.RecordDenied(balancer.DeniedAttempt)
	return &sender.Failure{Cause: sender.CauseEvacuated, Err: merry.Errorf("failure domain %q is evacuated", a.Backend.FailureDomain)}
}

// deniesServer reports whether this instance makes no attempt at a server for a peer. The
// domain of a server that neither the own list nor the peer names may be evacuated.
func (t *Tunneler) deniesServer(r request) bool {
	evacuations := t.cfg.Evacuations
	if evacuations == nil || !evacuations.Any() {
		return false
	}
	domain, listed := t.reach.FailureDomainOf(r.Service, r.Server)
	if listed && evacuations.Evacuated(domain) {
		return true
	}
	if r.ServerDomain == "" {
		return !listed
	}
	return evacuations.Evacuated(r.ServerDomain)
}
