package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// requestPeriod is the time between two requests of one workspace.
const requestPeriod = time.Second

// A loadTally counts sent requests and those that were refused or failed.
type loadTally struct {
	sent   atomic.Int64
	failed atomic.Int64
}

// sendLoad sends one request per workspace and period, to the entries in turn,
// until ctx is cancelled.
func sendLoad(ctx context.Context, f *fleet, t *loadTally) {
	var names []string
	for name := range f.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(requestPeriod / time.Duration(len(names)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Each workspace uses another entry in each period.
		entry := f.deployment.Entries[(n+n/len(names))%len(f.deployment.Entries)]
		url := fmt.Sprintf("http://%s/services/labels/labels/%d", entry.Addresses().HTTP, n)
		key := f.keys[names[n%len(names)]]
		group.Go(func() {
			t.sent.Add(1)
			if _, err := sendRequest(ctx, http.MethodGet, url, key, nil); err != nil && ctx.Err() == nil {
				t.failed.Add(1)
			}
		})
	}
}

// sendRequest sends a request of a workspace and returns the response body.
func sendRequest(ctx context.Context, method, url, key string, body []byte) (response []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
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

// jobPollPeriod is the time between two status requests for a job.
const jobPollPeriod = 500 * time.Millisecond

// measureJobs runs one job of each size on a deployment of two entries. It
// measures the idle deployment first.
func (c *slopesCmd) measureJobs(ctx context.Context) error {
	f, err := c.start(ctx, partJobs, 2, 2, defaultWorkspaces)
	if err != nil {
		return err
	}
	defer f.close()
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	idleStart, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	if err := pause(ctx, c.Duration); err != nil {
		return err
	}
	idleEnd, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	for _, n := range c.JobSizes {
		if err := c.measureJob(ctx, f, n, idleStart, idleEnd); err != nil {
			return err
		}
	}
	return nil
}

// measureJob runs one job and reports its cost, less the idle cost between
// idleStart and idleEnd.
func (c *slopesCmd) measureJob(ctx context.Context, f *fleet, n int, idleStart, idleEnd sample) error {
	content, err := jobContent(n)
	if err != nil {
		return err
	}
	const workspace = "workspace-001"
	url := fmt.Sprintf("http://%s/v1/batches/job-%d", f.deployment.Entries[0].Addresses().HTTP, n)
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	if _, err := sendRequest(ctx, http.MethodPut, url+"?due-in=1h", f.keys[workspace], content); err != nil {
		return err
	}
	completed, err := c.waitJob(ctx, url, f.keys[workspace])
	if err != nil {
		return err
	}
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	records, err := newPlatformClient(f).List(ctx, jobsPrefix)
	if err != nil {
		return err
	}
	c.addJob(n, completed, records, before, after, idleEnd, idleStart)
	return nil
}

// waitJob waits until the job has ended or c.JobLimit has passed and returns the
// number of completed items.
func (c *slopesCmd) waitJob(ctx context.Context, url, key string) (done int, err error) {
	deadline := time.Now().Add(c.JobLimit)
	var report struct {
		State batcher.State `json:"state"`
		Done  int           `json:"done"`
	}
	for time.Now().Before(deadline) {
		response, err := sendRequest(ctx, http.MethodGet, url, key, nil)
		if err != nil {
			return report.Done, err
		}
		if err := json.Unmarshal(response, &report); err != nil {
			return 0, err
		}
		if report.State != batcher.Running {
			break
		}
		if err := pause(ctx, jobPollPeriod); err != nil {
			return 0, err
		}
	}
	return report.Done, nil
}

// addJob reports the cost of a job. Of the platform's calls it reports only the
// writes, because the status requests of waitJob cause reads.
func (c *slopesCmd) addJob(n, completed int, records []storer.Entry, before, after, idleEnd, idleStart sample) {
	size, seconds := float64(n), after.At.Sub(before.At).Seconds()
	idleSeconds := idleEnd.At.Sub(idleStart.At).Seconds()
	idleWriteRate := float64(idleEnd.Platform.Writes-idleStart.Platform.Writes) / idleSeconds
	writes := float64(after.Platform.Writes-before.Platform.Writes) - idleWriteRate*seconds
	add := func(metric string, value float64) { c.report.add(partJobs, metric, roleAll, "item", size, value) }
	add("items completed", float64(completed))
	add("seconds", seconds)
	add("platform writes", writes)
	var cpu, objects float64
	for i, b := range before.Entries {
		cpu += after.Entries[i].CPU - b.CPU
		cpu -= (idleEnd.Entries[i].CPU - idleStart.Entries[i].CPU) / idleSeconds * seconds
		objects += after.Entries[i].ObjectBytes - b.ObjectBytes
	}
	add("cpu seconds of both entries", cpu)
	add("object bytes on links", objects)
	for _, r := range records {
		if bytes.HasSuffix([]byte(r.Key), fmt.Appendf(nil, "/job-%d", n)) {
			add("manifest bytes", float64(len(r.Value)))
		}
	}
	for _, m := range after.Entries {
		c.report.add(partJobs, "resident MB after", roleDisk, "item", size, m.Resident/1e6)
	}
}

// jobContent returns the items of a job as JSON lines.
func jobContent(n int) ([]byte, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type body struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}
	type line struct {
		CustomID string `json:"custom_id"`
		URL      string `json:"url"`
		Body     body   `json:"body"`
	}
	var content bytes.Buffer
	lines := json.NewEncoder(&content)
	for i := range n {
		prompt := fmt.Sprintf("Confirm order %d of melt grade 7.", i)
		item := line{CustomID: fmt.Sprintf("item-%d", i), URL: "/v1/chat/completions", Body: body{
			Model: "lm-desk", Messages: []message{{Role: "user", Content: prompt}}, MaxTokens: 1,
		}}
		if err := lines.Encode(item); err != nil {
			return nil, err
		}
	}
	return content.Bytes(), nil
}
