package tester

import "github.com/ansel1/merry/v2"

// platformName is the name of the platform's process.
const platformName = "platform"

// A PlatformProcess is the platform of a deployment. Entries reach it through
// a relay each.
type PlatformProcess struct {
	member

	relays []*TCPRelay
}

func newPlatformProcess(cfg DeploymentConfig) *PlatformProcess {
	p := &PlatformProcess{}
	p.command = Command{
		Name:        platformName,
		Path:        cfg.Binaries.Emulator,
		Arguments:   append([]string{"platform"}, cfg.PlatformArguments...),
		Environment: cfg.Environment,
		Folder:      cfg.Folder,
		OnEnd:       p.refuse,
	}
	p.onListening = p.setTargets
	return p
}

// setTargets leads the relays to a new run.
func (p *PlatformProcess) setTargets(a Addresses) error {
	for _, r := range p.relays {
		if err := r.SetTarget(a.HTTP); err != nil {
			return merry.Prepend(err, "lead a relay to the platform")
		}
	}
	return nil
}

// refuse lets entries see that nobody listens.
func (p *PlatformProcess) refuse() {
	for _, r := range p.relays {
		r.Refuse()
	}
}
