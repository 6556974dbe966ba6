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

// askPeriod is the time between two requests of one workspace.
const askPeriod = time.Second

// An askTally counts requests and those that were refused or failed.
type askTally struct {
	asked  atomic.Int64
	failed atomic.Int64
}

// ask lets each workspace send a request in each period, to the entries in
// turn, until ctx ends.
func ask(ctx context.Context, f *fleet, t *askTally) {
	var names []string
	for name := range f.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(askPeriod / time.Duration(len(names)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// The entry changes with each period for each workspace.
		entry := f.deployment.Entries[(n+n/len(names))%len(f.deployment.Entries)]
		url := fmt.Sprintf("http://%s/services/labels/labels/%d", entry.Addresses().HTTP, n)
		key := f.keys[names[n%len(names)]]
		group.Go(func() {
			t.asked.Add(1)
			if _, err := send(ctx, http.MethodGet, url, key, nil); err != nil && ctx.Err() == nil {
				t.failed.Add(1)
			}
		})
	}
}

// send sends a request of a workspace and returns the body of the answer.
func send(ctx context.Context, method, url, key string, body []byte) (answer []byte, err error) {
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
	answer, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = merry.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return answer, err
}

// jobPoll is the time between two looks at a job.
const jobPoll = 500 * time.Millisecond

// jobs runs one job of each size on one deployment of two entries.
func (c *slopesCmd) jobs(ctx context.Context) error {
	f, err := c.start(ctx, partJobs, 2, 2, usualWorkspaces)
	if err != nil {
		return err
	}
	defer f.close()
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	rest, err := readSlopes(ctx, f)
	if err != nil {
		return err
	}
	if err := pause(ctx, c.Duration); err != nil {
		return err
	}
	start, err := readSlopes(ctx, f)
	if err != nil {
		return err
	}
	for _, n := range c.JobSizes {
		if err := c.job(ctx, f, n, rest, start); err != nil {
			return err
		}
	}
	return nil
}

// job runs one job and adds its costs, less those of the rest between two
// readings.
func (c *slopesCmd) job(ctx context.Context, f *fleet, n int, rest, start reading) error {
	content, err := jobContent(n)
	if err != nil {
		return err
	}
	const workspace = "workspace-001"
	url := fmt.Sprintf("http://%s/v1/batches/job-%d", f.deployment.Entries[0].Addresses().HTTP, n)
	before, err := readSlopes(ctx, f)
	if err != nil {
		return err
	}
	if _, err := send(ctx, http.MethodPut, url+"?due-in=1h", f.keys[workspace], content); err != nil {
		return err
	}
	completed, err := c.waitJob(ctx, url, f.keys[workspace])
	if err != nil {
		return err
	}
	after, err := readSlopes(ctx, f)
	if err != nil {
		return err
	}
	records, err := platformClient(f).List(ctx, jobsPrefix)
	if err != nil {
		return err
	}
	c.addJob(n, completed, records, before, after, start, rest)
	return nil
}

// waitJob returns the number of items done when the job has ended, or at the
// limit.
func (c *slopesCmd) waitJob(ctx context.Context, url, key string) (done int, err error) {
	limit := time.Now().Add(c.JobLimit)
	var report struct {
		State batcher.State `json:"state"`
		Done  int           `json:"done"`
	}
	for time.Now().Before(limit) {
		answer, err := send(ctx, http.MethodGet, url, key, nil)
		if err != nil {
			return report.Done, err
		}
		if err := json.Unmarshal(answer, &report); err != nil {
			return 0, err
		}
		if report.State != batcher.Running {
			break
		}
		if err := pause(ctx, jobPoll); err != nil {
			return 0, err
		}
	}
	return report.Done, nil
}

// addJob adds the costs of a job. The status calls of waitJob are among the
// platform's reads, so that only its writes are reported.
func (c *slopesCmd) addJob(n, completed int, records []storer.Entry, before, after, start, rest reading) {
	size, seconds := float64(n), after.At.Sub(before.At).Seconds()
	restSeconds := start.At.Sub(rest.At).Seconds()
	writesAtRest := float64(start.Platform.Writes-rest.Platform.Writes) / restSeconds
	writes := float64(after.Platform.Writes-before.Platform.Writes) - writesAtRest*seconds
	add := func(figure string, value float64) { c.report.add(partJobs, figure, roleAll, "item", size, value) }
	add("items completed", float64(completed))
	add("seconds", seconds)
	add("platform writes", writes)
	var cpu, objects float64
	for i, b := range before.Pages {
		cpu += after.Pages[i].CPU - b.CPU
		cpu -= (start.Pages[i].CPU - rest.Pages[i].CPU) / restSeconds * seconds
		objects += after.Pages[i].ObjectBytes - b.ObjectBytes
	}
	add("cpu seconds of both entries", cpu)
	add("object bytes on links", objects)
	for _, r := range records {
		if bytes.HasSuffix([]byte(r.Key), fmt.Appendf(nil, "/job-%d", n)) {
			add("manifest bytes", float64(len(r.Value)))
		}
	}
	for _, p := range after.Pages {
		c.report.add(partJobs, "resident MB after", roleDisk, "item", size, p.Resident/1e6)
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
