package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Parts of the measurement that can be selected.
const (
	partActive     = "active"
	partEntries    = "entries"
	partJobs       = "jobs"
	partWorkspaces = "workspaces"
)

// Sizes of the dimensions that a part does not vary.
const (
	defaultEntries    = 4
	defaultWorkspaces = 8
)

const slopesFile = "slopes.json"

// A slopesCmd measures how the control-plane overhead grows with the numbers of
// entries and workspaces, and the cost of a batch job with its size.
type slopesCmd struct {
	Parts      []string      `arg:"positional"   help:"entries, workspaces, active (workspaces that send requests) or jobs; all when empty"`
	Duration   time.Duration `arg:"--duration"   help:"length of a measurement window"       default:"10s"`
	Entries    []int         `arg:"--entries"    help:"numbers of entries; 4, 8, 16 and 32 when empty"`
	Folder     string        `arg:"--folder"     help:"keep results and outputs here; nothing is kept when empty"`
	JobLimit   time.Duration `arg:"--job-limit"  help:"stop waiting for a job after this time"           default:"90s"`
	JobSizes   []int         `arg:"--job-sizes"  help:"items of a job; 1,000, 10,000 and 110,000 when empty"`
	Settle     time.Duration `arg:"--settle"     help:"time between ready entries and the measurement window"   default:"6s"`
	Workspaces []int         `arg:"--workspaces" help:"numbers of workspaces; 8, 64 and 250 when empty"`

	binaries tester.Binaries
	report   slopeReport
}

func (c *slopesCmd) run(ctx context.Context, stdout io.Writer) (err error) {
	c.setDefaults()
	if c.Folder == "" {
		if c.Folder, err = os.MkdirTemp("", "quetzalhitch-slopes-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(c.Folder) }()
	}
	if err = os.MkdirAll(c.Folder, 0o700); err != nil {
		return err
	}
	if c.binaries, err = tester.BuildBinaries(ctx, c.Folder); err != nil {
		return err
	}
	for _, part := range c.Parts {
		if err = c.runPart(ctx, part); err != nil {
			err = merry.Prependf(err, "measure %s", part)
			break
		}
	}
	// Results from before a failure are still printed.
	if tableErr := c.report.writeTable(stdout); tableErr != nil {
		return merry.Append(tableErr, fmt.Sprint(err))
	}
	if writeErr := writeJSON(filepath.Join(c.Folder, slopesFile), c.report); err == nil {
		err = writeErr
	}
	return err
}

func (c *slopesCmd) setDefaults() {
	if len(c.Parts) == 0 {
		c.Parts = []string{partEntries, partWorkspaces, partActive, partJobs}
	}
	if len(c.Entries) == 0 {
		c.Entries = []int{4, 8, 16, 32}
	}
	if len(c.Workspaces) == 0 {
		c.Workspaces = []int{8, 64, 250}
	}
	if len(c.JobSizes) == 0 {
		c.JobSizes = []int{1_000, 10_000, 110_000}
	}
}

func (c *slopesCmd) runPart(ctx context.Context, part string) error {
	switch part {
	case partEntries:
		for _, n := range c.Entries {
			if err := c.measureWindow(ctx, part, "entry", n, n, defaultWorkspaces); err != nil {
				return err
			}
		}
	case partWorkspaces, partActive:
		for _, n := range c.Workspaces {
			if err := c.measureWindow(ctx, part, "workspace", n, defaultEntries, n); err != nil {
				return err
			}
		}
	case partJobs:
		return c.measureJobs(ctx)
	default:
		return merry.Errorf("unknown part %q", part)
	}
	return nil
}

// start starts a deployment with four failure domains and two entries with a
// disk.
func (c *slopesCmd) start(ctx context.Context, part string, size, entries, workspaces int) (*fleet, error) {
	d := measurer.Deployment{
		Name:   fmt.Sprintf("%s-%d", part, size),
		Models: []declarer.Model{{Name: "lm-desk"}},
		ServerGroups: []measurer.ServerGroup{
			{
				Name: "lm-desk", Kind: declarer.Engine, Count: 4, Models: []string{"lm-desk"}, Capacity: 64, BatchBound: 64,
				Arguments: []string{"--token-time", "100us", "--prefill-time", "1us"},
			},
			{Name: "label-api", Kind: declarer.Service, Count: 1, Service: "label-api", Capacity: 256},
		},
		Routes: []declarer.Route{
			{Name: "desk", Model: "lm-desk", Idempotent: true, Batch: true, Deadline: declarer.Duration(20 * time.Second)},
			{Name: "labels", Service: "label-api", Idempotent: true, Deadline: declarer.Duration(2 * time.Second)},
		},
	}
	for i := range 4 {
		d.FailureDomains = append(d.FailureDomains,
			declarer.FailureDomain{Name: fmt.Sprintf("domain-%d", i+1), Region: "north"})
	}
	for i := range entries {
		d.Entries = append(d.Entries, measurer.Entry{
			ID: fmt.Sprintf("entry-%03d", i+1), FailureDomain: d.FailureDomains[i%4].Name, Disk: i < 2,
		})
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces,
			measurer.Workspace{Name: fmt.Sprintf("workspace-%03d", i+1), Rate: 20, Burst: 40})
	}
	f, err := startFleet(ctx, d, tester.DeploymentConfig{
		Folder:   filepath.Join(c.Folder, d.Name),
		Binaries: c.binaries,
	})
	if err != nil {
		return nil, err
	}
	if err := declareSlots(ctx, f, entries); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// declareSlots declares a standing slot for each entry. Entries without one poll
// the platform every two seconds, which would distort the slopes.
func declareSlots(ctx context.Context, f *fleet, entries int) error {
	slots := max(entries, declarer.DefaultStandingSlots)
	note := fmt.Sprintf("title = \"Slots\"\n[changed.limits]\nstanding-slots = %d\n", slots)
	_, err := f.deployment.Apply(ctx, f.deployment.Entries[0].ID, note)
	return err
}

// measureWindow measures a deployment over a window, idle or under light load.
func (c *slopesCmd) measureWindow(ctx context.Context, part, per string, size, entries, workspaces int) error {
	f, err := c.start(ctx, part, size, entries, workspaces)
	if err != nil {
		return err
	}
	defer f.close()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var tally loadTally
	if part == partActive {
		load := pool.New()
		defer load.Wait()
		defer stop()
		load.Go(func() { sendLoad(loadCtx, f, &tally) })
	}
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	sent, failed := tally.sent.Load(), tally.failed.Load()
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	if err := pause(ctx, c.Duration); err != nil {
		return err
	}
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	roles, err := entryRoles(ctx, f)
	if err != nil {
		return err
	}
	c.addWindow(part, per, float64(size), before, after, roles)
	snapshot, err := largestRecord(ctx, f, snapshotPrefix)
	if err != nil {
		return err
	}
	c.report.add(part, "snapshot bytes", roleAll, per, float64(size), float64(snapshot))
	if part == partActive {
		// Requests before the window show the first seconds after the start.
		add := func(metric string, n int64) { c.report.add(part, metric, roleAll, per, float64(size), float64(n)) }
		add("requests before the window", sent)
		add("refused or failed before the window", failed)
		add("requests in the window", tally.sent.Load()-sent)
		add("refused or failed in the window", tally.failed.Load()-failed)
	}
	return nil
}

// addWindow reports the changes between two samples: per entry, as a mean over
// the entries, or in total for the platform.
func (c *slopesCmd) addWindow(part, per string, size float64, before, after sample, roles [][]string) {
	seconds := after.At.Sub(before.At).Seconds()
	n := float64(len(after.Entries))
	for i, b := range before.Entries {
		a := after.Entries[i]
		for _, role := range append(slices.Clone(roles[i]), roleAll) {
			c.report.add(part, "cpu % of a core", role, per, size, 100*(a.CPU-b.CPU)/seconds)
			c.report.add(part, "resident MB", role, per, size, a.Resident/1e6)
			c.report.add(part, "link messages/s", role, per, size, (a.Messages-b.Messages)/seconds)
			c.report.add(part, "frame B/s sent", role, per, size, (a.SentBytes-b.SentBytes)/seconds)
		}
		c.report.add(part, "heartbeat B/s sent", roleAll, per, size, (a.HeartbeatBytes-b.HeartbeatBytes)/seconds)
		c.report.add(part, "borrow+return messages/s", roleAll, per, size, (a.Borrows-b.Borrows)/seconds)
		c.report.add(part, "borrow+return B/s sent", roleAll, per, size, (a.BorrowBytes-b.BorrowBytes)/seconds)
	}
	c.report.add(part, "UDP B/s sent per entry", roleAll, per, size, (after.UDPBytes-before.UDPBytes)/seconds/n)
	c.report.add(part, "datagrams/s sent per entry", roleAll, per, size, (after.Datagrams-before.Datagrams)/seconds/n)
	platformBefore, platformAfter := before.Platform, after.Platform
	c.report.add(part, "platform reads/s of all", roleAll, per, size, float64(platformAfter.Reads-platformBefore.Reads)/seconds)
	c.report.add(part, "platform watches/s of all", roleAll, per, size, float64(platformAfter.Watches-platformBefore.Watches)/seconds)
	c.report.add(part, "platform writes/s of all", roleAll, per, size, float64(platformAfter.Writes-platformBefore.Writes)/seconds)
}

// pause waits for d or until ctx is cancelled.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
