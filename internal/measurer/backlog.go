package measurer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/receiver"
)

const (
	// maxConcurrentJobs limits the jobs that are submitted or polled at once.
	maxConcurrentJobs = 4
	// submitAttempts limits the attempts to submit one job. Submission is
	// idempotent: the same content gives the same job.
	submitAttempts     = 5
	submitRetryDelay   = 500 * time.Millisecond
	maxResultLineBytes = 1 << 20
)

// A job is a submitted batch job.
type job struct {
	Workspace string
	Name      string
	Items     int

	mu     sync.Mutex
	status receiver.JobReport // As last read.
}

// A backlog is the set of batch jobs of a run.
type backlog struct {
	client *client
	batch  Batch
	model  string
	jobs   []*job
}

// newBacklog divides the batch items among the workspaces by their batch shares.
func newBacklog(c *client, d Deployment, namePrefix string) *backlog {
	b := &backlog{client: c, batch: d.Batch, model: d.modelOf(d.Batch.Route)}
	for _, w := range d.Workspaces {
		items := int(math.Round(float64(d.Batch.Items) * w.BatchShare))
		for n := 0; items > 0; n++ {
			size := min(items, d.Batch.ItemsPerJob)
			b.jobs = append(b.jobs, &job{Workspace: w.Name, Name: fmt.Sprintf("%s-%d", namePrefix, n), Items: size})
			items -= size
		}
	}
	return b
}

// submit submits all jobs and returns when all are acknowledged.
func (b *backlog) submit(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithMaxGoroutines(maxConcurrentJobs).WithCancelOnError().WithFirstError()
	for _, j := range b.jobs {
		p.Go(func(ctx context.Context) error { return b.submitJob(ctx, j) })
	}
	return p.Wait()
}

func (b *backlog) submitJob(ctx context.Context, j *job) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "submit job %s of %s", j.Name, j.Workspace)
		}
	}()

	content, err := b.content(j)
	if err != nil {
		return err
	}
	path := batchPath + j.Name + "?due-in=" + time.Duration(b.batch.DueIn).String()
	for range submitAttempts {
		if _, err = b.sendJobRequest(ctx, http.MethodPut, path, j.Workspace, content); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.client.clock.After(submitRetryDelay):
		}
	}
	return err
}

// content returns the items of a job as JSON lines.
func (b *backlog) content(j *job) ([]byte, error) {
	var content bytes.Buffer
	lines := json.NewEncoder(&content)
	for i := range j.Items {
		id := fmt.Sprintf("%s.%s.%d", j.Workspace, j.Name, i)
		line := batchLine{CustomID: id, URL: chatPath, Body: chatBody{
			Model:     b.model,
			Messages:  []chatMessage{{Role: "user", Content: newPrompt(j.Workspace, id, b.client.chat.PrefixWords)}},
			MaxTokens: b.batch.MaxTokens,
		}}
		if err := lines.Encode(line); err != nil {
			return nil, err
		}
	}
	return content.Bytes(), nil
}

// completedItems returns the number of items with a result. A job whose status
// cannot be read counts with its last known status.
func (b *backlog) completedItems(ctx context.Context) (n int) {
	p := pool.New().WithContext(ctx).WithMaxGoroutines(maxConcurrentJobs)
	for _, j := range b.jobs {
		p.Go(func(ctx context.Context) error { return b.refresh(ctx, j) })
	}
	_ = p.Wait() // Errors leave the last known status.
	for _, j := range b.jobs {
		j.mu.Lock()
		n += j.status.Done + j.status.Failed
		j.mu.Unlock()
	}
	return n
}

func (b *backlog) refresh(ctx context.Context, j *job) error {
	response, err := b.sendJobRequest(ctx, http.MethodGet, batchPath+j.Name, j.Workspace, nil)
	if err != nil {
		return err
	}
	var status receiver.JobReport
	if err := json.Unmarshal(response, &status); err != nil {
		return merry.Prependf(err, "read the status of job %s of %s", j.Name, j.Workspace)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.status = status
	return nil
}

// cancel cancels all jobs so that the entries are idle afterwards.
func (b *backlog) cancel(ctx context.Context) error {
	for _, j := range b.jobs {
		if _, err := b.sendJobRequest(ctx, http.MethodPost, batchPath+j.Name+"/cancel", j.Workspace, nil); err != nil {
			return merry.Prependf(err, "cancel job %s of %s", j.Name, j.Workspace)
		}
	}
	return nil
}

// batchResults sums up the results of all jobs.
type batchResults struct {
	Results    int // Lines with a result.
	Duplicates int // Lines beyond the first of an item.
	Failed     int // Lines that report a failure.
	Tokens     int
}

// results reads the results of all jobs.
func (b *backlog) results(ctx context.Context) (sum batchResults, err error) {
	for _, j := range b.jobs {
		response, err := b.sendJobRequest(ctx, http.MethodGet, batchPath+j.Name+"/results", j.Workspace, nil)
		if err != nil {
			return sum, merry.Prependf(err, "read the results of job %s of %s", j.Name, j.Workspace)
		}
		if err := sum.add(bytes.NewReader(response)); err != nil {
			return sum, merry.Prependf(err, "read the results of job %s of %s", j.Name, j.Workspace)
		}
	}
	return sum, nil
}

// add adds the result lines of one job.
func (s *batchResults) add(r io.Reader) error {
	seen := make(map[string]bool)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxResultLineBytes)
	for lines.Scan() {
		var line batcher.ResultLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return err
		}
		s.Results++
		if seen[line.CustomID] {
			s.Duplicates++
		}
		seen[line.CustomID] = true
		if line.Failure != nil {
			s.Failed++
		}
		s.Tokens += int(line.Tokens)
	}
	return lines.Err()
}

// sendJobRequest sends a request about a job and returns the response body.
func (b *backlog) sendJobRequest(ctx context.Context, method, path, workspace string, body []byte) (response []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, b.client.timeout)
	defer cancel()
	resp, err := b.client.exchange(ctx, method, path, workspace, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = merry.Errorf("status %d: %s", resp.StatusCode, response)
	}
	return response, err
}
