package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	// waitTimeout bounds the wait for a condition that takes a few seconds.
	waitTimeout = 30 * time.Second
	// callTimeout bounds one request of a caller.
	callTimeout = 20 * time.Second
	// propagationLimit is the required bound for a change to take effect at all
	// reachable entries.
	propagationLimit = 5 * time.Second
	// manyWrites exceeds the number of writes of a release note or a small job.
	manyWrites = 1000

	modelName   = "lm-desk"
	serviceName = "label-api"
)

func TestMain(m *testing.M) {
	os.Exit(tester.Main(m))
}

// A testDeployment is a deployment with two or more failure domains, a
// declaration in force and a key for each workspace.
type testDeployment struct {
	*tester.Deployment
	t    *testing.T
	keys map[string]string // By workspace.
}

// A testDeploymentConfig overrides the default deployment: two failure domains,
// each with an entry with a disk, an engine and a plain service.
type testDeploymentConfig struct {
	domains      int
	entries      int // In each failure domain; all have disks.
	engines      int // In each failure domain.
	workspaces   []declarer.Workspace
	changeConfig func(*tester.DeploymentConfig)
	amendNote    func(*declarer.ReleaseNote)
}

func startTestDeployment(t *testing.T, cfg testDeploymentConfig) *testDeployment {
	t.Helper()
	if cfg.workspaces == nil {
		cfg.workspaces = []declarer.Workspace{{Name: "packing", Rate: 200, Burst: 400}}
	}
	deploymentConfig := newDeploymentConfig(cfg)
	if cfg.changeConfig != nil {
		cfg.changeConfig(&deploymentConfig)
	}
	d := &testDeployment{Deployment: tester.NewDeployment(t, deploymentConfig), t: t, keys: map[string]string{}}
	note := d.initialNote(cfg.workspaces)
	if cfg.amendNote != nil {
		cfg.amendNote(&note)
	}
	d.apply("entry-a1", note)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, d.WaitReady(ctx))
	for _, e := range d.Entries {
		d.awaitAdmission(e.ID, cfg.workspaces[0].Name)
	}
	return d
}

// awaitAdmission waits until an entry has a lender of rate tokens.
func (d *testDeployment) awaitAdmission(entry, workspace string) {
	d.t.Helper()
	tester.Eventually(d.t, waitTimeout, entry+" admits requests", func() error {
		a, err := d.call(entry, get(d.keys[workspace], "/services/label/labels/1"))
		if err == nil && a.status != http.StatusOK {
			err = errors.New(a.body)
		}
		return err
	})
}

func newDeploymentConfig(cfg testDeploymentConfig) (result tester.DeploymentConfig) {
	result.DomainLatency = time.Millisecond
	result.DrainDelay = 500 * time.Millisecond
	for n := range max(cfg.domains, 2) {
		name := string(rune('a' + n))
		result.FailureDomains = append(result.FailureDomains, declarer.FailureDomain{Name: name, Region: "hr-north"})
		for i := range max(cfg.entries, 1) {
			id := fmt.Sprintf("entry-%s%d", name, i+1)
			result.Entries = append(result.Entries, tester.EntryConfig{ID: id, FailureDomain: name, Disk: true})
		}
		for i := range max(cfg.engines, 1) {
			result.BackendServers = append(result.BackendServers, tester.BackendServerConfig{BackendServer: declarer.BackendServer{
				Name: fmt.Sprintf("engine-%s%d", name, i+1), Kind: declarer.Engine, FailureDomain: name,
				Models: []string{modelName}, Capacity: 8, BatchBound: 6,
			}})
		}
		result.BackendServers = append(result.BackendServers, tester.BackendServerConfig{BackendServer: declarer.BackendServer{
			Name: "service-" + name, Kind: declarer.Service, FailureDomain: name, Service: serviceName, Capacity: 64,
		}})
	}
	return result
}

// initialNote declares everything that the deployment serves.
func (d *testDeployment) initialNote(workspaces []declarer.Workspace) (note declarer.ReleaseNote) {
	declared := d.Declaration()
	note.Title = "test deployment"
	note.Added.FailureDomains = declared.FailureDomains
	note.Added.BackendServers = declared.BackendServers
	note.Added.Models = []declarer.Model{{Name: modelName}}
	note.Added.Workspaces = workspaces
	note.Added.Routes = []declarer.Route{
		{Name: "chat", Model: modelName, Idempotent: true, Batch: true},
		{Name: "label", Service: serviceName, Idempotent: true},
		{Name: "open-label", Service: serviceName, Idempotent: true, Open: true},
		{Name: "order", Service: serviceName},
	}
	for _, w := range workspaces {
		d.keys[w.Name] = "key-of-" + w.Name + "-0123456789"
		note.Added.Keys = append(note.Added.Keys, declarer.Key{
			Name: w.Name, Workspace: w.Name, Digest: d.KeyDigest(d.keys[w.Name]),
		})
	}
	return note
}

// apply applies a release note through an entry.
func (d *testDeployment) apply(entry string, note declarer.ReleaseNote) {
	d.t.Helper()
	assert.NilError(d.t, d.tryApply(entry, note))
}

func (d *testDeployment) tryApply(entry string, note declarer.ReleaseNote) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(note); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := d.Apply(ctx, entry, text.String())
	return err
}

// A request is a caller's request to an entry.
type request struct {
	method string // POST when empty.
	path   string
	body   string
	key    string
	header map[string]string
}

// An answer is a complete HTTP response.
type answer struct {
	status int
	header http.Header
	body   string
}

// A refusal is the error in the body of an answer.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (a answer) refusal() (r refusal) {
	_ = json.Unmarshal([]byte(a.body), &r)
	return r
}

// noKeepAliveClient opens a connection for each call, since a load balancer may
// send any call to any entry.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to an entry. The error is a connection error.
func (d *testDeployment) call(entry string, r request) (a answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return d.callWith(ctx, noKeepAliveClient, entry, r)
}

func (d *testDeployment) callWith(ctx context.Context, client *http.Client, entry string, r request) (a answer, err error) {
	if r.method == "" {
		r.method = http.MethodPost
	}
	url := "http://" + d.Entry(entry).Addresses().HTTP + r.path
	req, err := http.NewRequestWithContext(ctx, r.method, url, strings.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	response, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// mustCall sends a request to an entry and fails the test without an answer.
func (d *testDeployment) mustCall(entry string, r request) answer {
	d.t.Helper()
	a, err := d.call(entry, r)
	assert.NilError(d.t, err)
	return a
}

// chat returns a completion request whose prompt contains a marker that the
// engine emulator repeats in its answer.
func chat(key, marker string, tokens int, stream bool) request {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, stream, tokens, "marker:"+marker)
	return request{path: "/v1/chat/completions", body: body, key: key}
}

// batchItems returns the JSON lines of a job.
func batchItems(job string, n, tokens int) string {
	var lines strings.Builder
	for i := range n {
		marker := fmt.Sprintf("%s-item-%d", job, i)
		fmt.Fprintf(&lines, `{"custom_id":%q,"url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			marker, modelName, tokens, "marker:"+marker)
	}
	return lines.String()
}

func submit(key, job, items string) request {
	return request{method: http.MethodPut, path: "/v1/batches/" + job + "?due-in=1h", body: items, key: key}
}

func get(key, path string) request {
	return request{method: http.MethodGet, path: path, key: key}
}

// received returns the requests that a backend server received.
func (d *testDeployment) received(server string) (report emulator.Report) {
	d.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + d.BackendServer(server).Addresses().HTTP + "/received")
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

// setPlatformFaults replaces the faults of the platform emulator.
func (d *testDeployment) setPlatformFaults(f platformemulator.Faults) {
	d.t.Helper()
	assert.NilError(d.t, d.Platform.SetFaults(d.t.Context(), f))
}

func assertOK(t testing.TB, a answer) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
}

func assertRefused(t testing.TB, a answer, code, outcome string) {
	t.Helper()
	r := a.refusal()
	assert.Equal(t, r.Error.Code, code, "%d %s", a.status, a.body)
	assert.Equal(t, r.Error.Outcome, outcome, "%d %s", a.status, a.body)
}

// assertCompleteStream checks that an answer is the complete stream for the
// marker.
func assertCompleteStream(t testing.TB, a answer, marker string) {
	t.Helper()
	assertOK(t, a)
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), "%s", a.body)
	assert.Assert(t, strings.Contains(a.body, marker), "%s", a.body)
}
