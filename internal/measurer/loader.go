package measurer

import (
	"embed"
	"errors"
	"io/fs"
	"math"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// descriptions holds the deployments, at their current sizes, and the scenarios.
//
//go:embed descriptions
var descriptions embed.FS

// Folders and the suffix of the descriptions.
const (
	deploymentFolder  = "descriptions/deployments"
	scenarioFolder    = "descriptions/scenarios"
	descriptionSuffix = ".toml"
)

// shareTolerance allows for rounding errors in sums of decimal fractions.
const shareTolerance = 1e-6

// Scenarios returns the names of all scenarios, sorted.
func Scenarios() (names []string, err error) {
	paths, err := fs.Glob(descriptions, scenarioFolder+"/*/*"+descriptionSuffix)
	if err != nil {
		return nil, merry.Prepend(err, "list scenarios")
	}
	for _, p := range paths {
		name := strings.TrimPrefix(p, scenarioFolder+"/")
		names = append(names, strings.TrimSuffix(name, descriptionSuffix))
	}
	return names, nil
}

// Load returns the description of a scenario such as "ljepilo-hub/steady".
func Load(name string) (d Description, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "load scenario %q", name)
		}
	}()

	if err = decodeEmbedded(path.Join(scenarioFolder, name+descriptionSuffix), &d.Scenario); err != nil {
		return Description{}, err
	}
	d.Scenario.Name = name
	if err = decodeEmbedded(path.Join(deploymentFolder, path.Dir(name)+descriptionSuffix), &d.Deployment); err != nil {
		return Description{}, err
	}
	return d, d.Validate()
}

// A descriptionFile is the content of a file that defines a scenario on one of
// the embedded deployments.
type descriptionFile struct {
	Deployment string   `toml:"deployment"` // Such as "ljepilo-hub".
	Scenario   Scenario `toml:"scenario"`
}

// LoadFile reads a description from a TOML file.
func LoadFile(file string) (d Description, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "load description %q", file)
		}
	}()

	content, err := os.ReadFile(file)
	if err != nil {
		return Description{}, err
	}
	var parsed descriptionFile
	if err = decodeTOML(file, content, &parsed); err != nil {
		return Description{}, err
	}
	d.Scenario = parsed.Scenario
	d.Scenario.Name = file
	if err = decodeEmbedded(path.Join(deploymentFolder, parsed.Deployment+descriptionSuffix), &d.Deployment); err != nil {
		return Description{}, err
	}
	return d, d.Validate()
}

// decodeEmbedded decodes an embedded file.
func decodeEmbedded(file string, into any) error {
	content, err := descriptions.ReadFile(file)
	if err != nil {
		return err
	}
	return decodeTOML(file, content, into)
}

// decodeTOML rejects unknown keys.
func decodeTOML(file string, content []byte, into any) error {
	meta, err := toml.Decode(string(content), into)
	if err != nil {
		return merry.Prepend(err, file)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return merry.Errorf("%s: unknown key %s", file, unknown[0])
	}
	return nil
}

// Validate returns all errors of a description, joined.
func (d Description) Validate() error {
	return errors.Join(d.Deployment.validate(), d.Scenario.validate(d.Deployment))
}

func (d Deployment) validate() (err error) {
	if len(d.FailureDomains) == 0 || len(d.Entries) == 0 || len(d.Workspaces) == 0 {
		err = errors.Join(err, merry.New("a deployment needs at least one failure domain, entry and workspace"))
	}
	for _, e := range d.Entries {
		if !d.hasDomain(e.FailureDomain) {
			err = errors.Join(err, merry.Errorf("entry %s: unknown failure domain %q", e.ID, e.FailureDomain))
		}
	}
	for _, route := range []string{d.Chat.Route, d.Call.Route, d.Batch.Route} {
		if !slices.ContainsFunc(d.Routes, func(r declarer.Route) bool { return r.Name == route }) {
			err = errors.Join(err, merry.Errorf("no route %q", route))
		}
	}
	if d.Batch.Items < 0 || d.Batch.ItemsPerJob < 1 {
		err = errors.Join(err, merry.New("batch: items must not be negative and items-per-job must be positive"))
	}
	return errors.Join(err, d.validateWorkspaces())
}

func (d Deployment) validateWorkspaces() (err error) {
	shares := 0.0
	for _, w := range d.Workspaces {
		shares += w.BatchShare
		if w.Rate <= 0 || w.Burst < 1 || w.ChatRate < 0 || w.CallRate < 0 || w.BatchShare < 0 {
			err = errors.Join(err, merry.Errorf(
				"workspace %s: rate and burst must be positive; chat-rate, call-rate and batch-share must not be negative", w.Name))
		}
		if w.ChatRate+w.CallRate > w.Rate {
			err = errors.Join(err, merry.Errorf("workspace %s: the sum of chat-rate and call-rate is above its rate", w.Name))
		}
	}
	if math.Abs(shares-1) > shareTolerance {
		err = errors.Join(err, merry.Errorf("the batch shares add up to %g instead of 1", shares))
	}
	return err
}

func (d Deployment) hasDomain(name string) bool {
	for _, domain := range d.FailureDomains {
		if domain.Name == name {
			return true
		}
	}
	return false
}

func (d Deployment) hasWorkspace(name string) bool {
	for _, w := range d.Workspaces {
		if w.Name == name {
			return true
		}
	}
	return false
}

func (s Scenario) validate(d Deployment) (err error) {
	if s.Duration <= 0 || s.WarmUp < 0 {
		err = errors.Join(err, merry.New("duration must be positive and warm-up must not be negative"))
	}
	for _, b := range s.Bursts {
		if (b.Factor > 0) == (b.TimesRate > 0) {
			err = errors.Join(err, merry.New("burst: exactly one of factor and times-rate must be positive"))
		}
		if b.At < 0 || b.Duration <= 0 || b.At+b.Duration > s.Duration {
			err = errors.Join(err, merry.New("burst: it must have a positive duration and lie within the scenario's duration"))
		}
		for _, w := range b.Workspaces {
			if !d.hasWorkspace(w) {
				err = errors.Join(err, merry.Errorf("burst: unknown workspace %q", w))
			}
		}
	}
	for _, f := range s.Faults {
		err = errors.Join(err, f.validate(s, d))
	}
	return err
}

func (f Fault) validate(s Scenario, d Deployment) (err error) {
	if f.At < 0 || f.Duration <= 0 || f.At+f.Duration > s.Duration {
		err = merry.New("fault: it must have a positive duration and lie within the scenario's duration")
	}
	switch f.Kind {
	case PlatformDown:
	case FailureDomainLost:
		if !d.hasDomain(f.FailureDomain) {
			err = errors.Join(err, merry.Errorf("fault: unknown failure domain %q", f.FailureDomain))
		}
	default:
		err = errors.Join(err, merry.Errorf("fault: unknown kind %q", f.Kind))
	}
	return err
}
