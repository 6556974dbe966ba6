package tester

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Paths of an entry that the harness calls.
const (
	applyPath = "/operator/apply"
	readyPath = "/readyz"
)

// readyPollInterval is the interval at which readiness is polled.
const readyPollInterval = 20 * time.Millisecond

// Declaration returns the failure domains and backend servers of the
// deployment as operators declare them.
func (d *Deployment) Declaration() (declared declarer.Declaration) {
	for _, domain := range d.FailureDomains {
		declared.FailureDomains = append(declared.FailureDomains, domain.FailureDomain)
	}
	for _, b := range d.BackendServers {
		declared.BackendServers = append(declared.BackendServers, b.BackendServer)
	}
	return declared
}

// KeyDigest returns the digest under which a key is declared.
func (d *Deployment) KeyDigest(key string) string {
	return KeyDigest(d.KeyPepper, key)
}

// Apply sends a release note to an entry as an operator and returns the
// response body.
func (d *Deployment) Apply(ctx context.Context, entry, note string) (answer string, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "apply a release note through %s", entry)
		}
	}()

	e := d.Entry(entry)
	if e == nil {
		return "", merry.Errorf("the deployment has no entry %q", entry)
	}
	url := "http://" + e.Addresses().HTTP + applyPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(note))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+d.OperatorKey)
	status, answer, err := call(req)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return answer, merry.Errorf("status %d: %s", status, answer)
	}
	return answer, nil
}

// WaitReady waits until each running entry is ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, e := range d.Entries {
		if !e.Process().Running() {
			continue
		}
		if err := e.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the entry reports that it is ready.
func (e *EntryProcess) WaitReady(ctx context.Context) (err error) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready, last := e.ready(ctx)
		if ready {
			return nil
		}
		select {
		case <-ticker.C:
		case <-e.Process().Ended():
			return merry.Errorf("entry %s ended before it was ready\n%s", e.ID, e.Process().Tail())
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "wait for entry %s to be ready, last answer %q", e.ID, last)
		}
	}
}

func (e *EntryProcess) ready(ctx context.Context) (ready bool, answer string) {
	url := "http://" + e.Addresses().HTTP + readyPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err.Error()
	}
	status, answer, err := call(req)
	if err != nil {
		return false, err.Error()
	}
	return status == http.StatusOK, answer
}

// call sends a request on a new connection.
func call(req *http.Request) (status int, body string, err error) {
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}
