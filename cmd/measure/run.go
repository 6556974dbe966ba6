package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Values of --batch.
const (
	modeBoth    = "both"
	modeWith    = "with"
	modeWithout = "without"
)

// Names of the result files.
const (
	withFile    = "with-batch.json"
	withoutFile = "without-batch.json"
	impactFile  = "harm.json"
)

// A runCmd runs a scenario, by default once with batch work and once without.
type runCmd struct {
	Scenario string              `arg:"positional,required" help:"such as ljepilo-hub/steady, see list; or a TOML file"`
	Baseline configurer.Baseline `arg:"--baseline"          help:"start the entries with a baseline; see list"`
	Batch    string              `arg:"--batch"             help:"both, with or without batch work" default:"both"`
	Binaries string              `arg:"--binaries"          help:"folder with quetzalhitch and emulator of another version; built when empty"`
	Duration time.Duration       `arg:"--duration"          help:"measure for this time instead of the scenario's"`
	Folder   string              `arg:"--folder"            help:"keep results and outputs here; nothing is kept when empty"`
	Seed     *uint64             `arg:"--seed"              help:"use this seed instead of the scenario's"`
	WarmUp   *time.Duration      `arg:"--warm-up"           help:"warm up for this time instead of the scenario's"`
}

func (c *runCmd) run(ctx context.Context, stdout io.Writer) (err error) {
	description, err := c.description()
	if err != nil {
		return err
	}
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "quetzalhitch-measure-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	binaries, err := c.binaries(ctx, folder)
	if err != nil {
		return err
	}

	var with, without measurer.Result
	if c.Batch != modeWithout {
		if with, err = c.measure(ctx, description, binaries, folder, true, stdout); err != nil {
			return err
		}
	}
	if c.Batch != modeWith {
		if without, err = c.measure(ctx, description, binaries, folder, false, stdout); err != nil {
			return err
		}
	}
	if c.Batch != modeBoth {
		return nil
	}
	impact, err := measurer.NewBatchImpact(with, without)
	if err != nil {
		return err
	}
	if err = writeJSON(filepath.Join(folder, impactFile), impact); err != nil {
		return err
	}
	return impact.WriteTable(stdout)
}

// description loads the scenario and applies the command-line options.
func (c *runCmd) description() (d measurer.Description, err error) {
	if !slices.Contains([]string{modeBoth, modeWith, modeWithout}, c.Batch) {
		return d, merry.Errorf("--batch must be %s, %s or %s, not %q", modeBoth, modeWith, modeWithout, c.Batch)
	}
	if c.Baseline != "" && !slices.Contains(configurer.Baselines(), c.Baseline) {
		return d, merry.Errorf("unknown baseline %q; known baselines are %v", c.Baseline, configurer.Baselines())
	}
	load := measurer.Load
	if strings.HasSuffix(c.Scenario, ".toml") {
		load = measurer.LoadFile
	}
	if d, err = load(c.Scenario); err != nil {
		return d, err
	}
	if c.Duration > 0 {
		d.Scenario.Duration = declarer.Duration(c.Duration)
	}
	if c.WarmUp != nil {
		d.Scenario.WarmUp = declarer.Duration(*c.WarmUp)
	}
	if c.Seed != nil {
		d.Scenario.Seed = *c.Seed
	}
	return d, d.Validate()
}

func (c *runCmd) binaries(ctx context.Context, folder string) (tester.Binaries, error) {
	if c.Binaries != "" {
		return tester.Binaries{
			Entry:    filepath.Join(c.Binaries, "quetzalhitch"),
			Emulator: filepath.Join(c.Binaries, "emulator"),
		}, nil
	}
	return tester.BuildBinaries(ctx, folder)
}

// measure runs the scenario once on a new deployment.
func (c *runCmd) measure(
	ctx context.Context, description measurer.Description, binaries tester.Binaries, folder string, batch bool,
	stdout io.Writer,
) (result measurer.Result, err error) {
	name := withoutFile
	if batch {
		name = withFile
	}
	f, err := startFleet(ctx, description.Deployment, tester.DeploymentConfig{
		Folder:   filepath.Join(folder, name+"-deployment"),
		Binaries: binaries,
		Baseline: string(c.Baseline),
		Seed:     description.Scenario.Seed,
	})
	if err != nil {
		return result, err
	}
	defer f.close()

	r, err := measurer.NewRunner(measurer.Config{
		Description:    description,
		Baseline:       c.Baseline,
		Batch:          batch,
		Entries:        f,
		Keys:           f.keys,
		FaultInjector:  f,
		Clock:          clockwork.NewRealClock(),
		RequestTimeout: measurer.DefaultRequestTimeout,
	})
	if err != nil {
		return result, err
	}
	if result, err = r.Run(ctx); err != nil {
		return result, err
	}
	if err = writeJSON(filepath.Join(folder, name), result); err != nil {
		return result, err
	}
	return result, result.WriteTable(stdout)
}

func writeJSON(file string, document any) error {
	content, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(content, '\n'), 0o600)
}
