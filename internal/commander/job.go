package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/receiver"
)

// jobPollInterval is the interval between status requests for a job.
const jobPollInterval = 2 * time.Second

// A JobCmd manages batch jobs.
type JobCmd struct {
	Cancel  *JobCancelCmd  `arg:"subcommand:cancel" help:"cancel a job; results of finished items stay available"`
	Results *JobResultsCmd `arg:"subcommand:results" help:"fetch the results of a job as JSON lines"`
	Status  *JobStatusCmd  `arg:"subcommand:status" help:"show the state of a job"`
	Submit  *JobSubmitCmd  `arg:"subcommand:submit" help:"submit a job; submitting the same items again returns the same job"`
}

// JobFlags set the entry and the key of a command. The key comes from the
// environment or a file, since other users can see arguments.
type JobFlags struct {
	Entry   string `arg:"--entry,env:QUETZALHITCH_ENTRY" default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"caller address of any entry"`
	KeyFile string `arg:"--key-file,env:QUETZALHITCH_KEY_FILE" placeholder:"FILE" help:"file with the key of the workspace"`
	Key     string `arg:"--,env:QUETZALHITCH_KEY" help:"key of the workspace"`
}

// A JobSubmitCmd submits a job.
type JobSubmitCmd struct {
	JobFlags
	Job   string        `arg:"positional,required" help:"name of the job"`
	File  string        `arg:"positional" default:"-" help:"JSON lines with custom_id, url and body; - for the standard input"`
	DueIn time.Duration `arg:"--due-in" default:"24h" help:"time until all results are due"`
	Wait  bool          `arg:"--wait" help:"wait until the job has ended"`
}

// A JobStatusCmd shows the state of a job.
type JobStatusCmd struct {
	JobFlags
	Job  string `arg:"positional,required" help:"name of the job"`
	Wait bool   `arg:"--wait" help:"wait until the job has ended"`
}

// A JobCancelCmd cancels a job.
type JobCancelCmd struct {
	JobFlags
	Job string `arg:"positional,required" help:"name of the job"`
}

// A JobResultsCmd fetches results.
type JobResultsCmd struct {
	JobFlags
	Job    string `arg:"positional,required" help:"name of the job"`
	Output string `arg:"--output,-o" placeholder:"FILE" help:"output file, written atomically; standard output by default"`
}

// interruptContext returns a context that is cancelled by SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func (cmd *JobSubmitCmd) run(stdout, stderr io.Writer) (err error) {
	ctx, cancel := interruptContext()
	defer cancel()
	client, err := cmd.client()
	if err != nil {
		return err
	}
	upload, size, err := openUpload(cmd.File)
	if err != nil {
		return err
	}
	defer func() { _ = upload.Close() }()
	p := newProgress(stderr)
	report, err := client.submit(ctx, cmd.Job, cmd.DueIn, p.reader(upload, size), size)
	p.clear()
	if err != nil {
		return err
	}
	if cmd.Wait {
		return waitForJob(ctx, client, cmd.Job, stdout, p)
	}
	return printReport(stdout, report)
}

// openUpload returns the items and their size, which is -1 when it is unknown.
func openUpload(name string) (upload io.ReadCloser, size int64, err error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), -1, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	if !info.Mode().IsRegular() {
		return file, -1, nil
	}
	return file, info.Size(), nil
}

func (cmd *JobStatusCmd) run(stdout, stderr io.Writer) (err error) {
	ctx, cancel := interruptContext()
	defer cancel()
	client, err := cmd.client()
	if err != nil {
		return err
	}
	if cmd.Wait {
		return waitForJob(ctx, client, cmd.Job, stdout, newProgress(stderr))
	}
	report, err := client.status(ctx, cmd.Job)
	if err != nil {
		return err
	}
	return printReport(stdout, report)
}

func (cmd *JobCancelCmd) run(stdout, _ io.Writer) (err error) {
	ctx, cancel := interruptContext()
	defer cancel()
	client, err := cmd.client()
	if err != nil {
		return err
	}
	report, err := client.cancel(ctx, cmd.Job)
	if err != nil {
		return err
	}
	return printReport(stdout, report)
}

func (cmd *JobResultsCmd) run(stdout, stderr io.Writer) (err error) {
	ctx, cancel := interruptContext()
	defer cancel()
	client, err := cmd.client()
	if err != nil {
		return err
	}
	p := newProgress(stderr)
	defer p.clear()
	if cmd.Output == "" {
		return client.results(ctx, cmd.Job, p.writer(stdout))
	}
	return writeFileAtomically(cmd.Output, func(w io.Writer) error {
		return client.results(ctx, cmd.Job, p.writer(w))
	})
}

// writeFileAtomically writes a temporary file and renames it when it is complete.
func writeFileAtomically(name string, write func(w io.Writer) error) (err error) {
	file, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".tmp-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = file.Close()
			_ = os.Remove(file.Name())
		}
	}()
	if err = write(file); err != nil {
		return err
	}
	if err = file.Sync(); err != nil {
		return err
	}
	if err = file.Close(); err != nil {
		return err
	}
	return os.Rename(file.Name(), name)
}

// waitForJob polls a job until it ends. A job that ends with missing items
// returns exitIncomplete.
func waitForJob(ctx context.Context, client *jobClient, job string, stdout io.Writer, p *progress) (err error) {
	defer p.clear()
	for {
		report, err := client.status(ctx, job)
		if err != nil {
			return err
		}
		if report.State != batcher.Running {
			p.clear()
			return printFinalReport(stdout, report)
		}
		p.show("%d of %d items", report.Done+report.Failed, report.Items)
		select {
		case <-ctx.Done():
			return merry.Append(ctx.Err(), "the job continues to run")
		case <-time.After(jobPollInterval):
		}
	}
}

func printFinalReport(stdout io.Writer, report receiver.JobReport) (err error) {
	if err = printReport(stdout, report); err != nil {
		return err
	}
	if report.Done < report.Items {
		missing := merry.Errorf("%d of %d items were not done", report.Items-report.Done, report.Items)
		return &exitError{code: exitIncomplete, err: missing}
	}
	return nil
}

func printReport(w io.Writer, r receiver.JobReport) (err error) {
	_, err = fmt.Fprintf(w, "job %s: %s, %d done, %d failed, %d cancelled of %d items, due %s\n",
		r.Job, r.State, r.Done, r.Failed, r.Cancelled, r.Items, r.Due.Format(time.RFC3339))
	return err
}
