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
	// patience bounds the wait for a condition that takes a few seconds.
	patience = 30 * time.Second
	// callLimit bounds one call of a caller.
	callLimit = 20 * time.Second
	// inForceLimit is the bound of what has to happen within seconds while all
	// parts are reachable.
	inForceLimit = 5 * time.Second
	// manyWrites is more than a release note or a small job writes.
	manyWrites = 1000

	model   = "lm-desk"
	service = "label-api"
)

func TestMain(m *testing.M) {
	os.Exit(tester.Main(m))
}

// A bench is a deployment with two or more failure domains, a declaration in
// force and a key for each workspace.
type bench struct {
	*tester.Deployment
	t    *testing.T
	keys map[string]string // By workspace.
}

// A benchConfig says how a bench differs from the default one: two failure
// domains, each with an entry with a disk, an engine and a plain service.
type benchConfig struct {
	domains    int
	entries    int // In each failure domain; all have disks.
	engines    int // In each failure domain.
	workspaces []declarer.Workspace
	change     func(*tester.DeploymentConfig)
	amend      func(*declarer.ReleaseNote)
}

func startBench(t *testing.T, cfg benchConfig) *bench {
	t.Helper()
	if cfg.workspaces == nil {
		cfg.workspaces = []declarer.Workspace{{Name: "packing", Rate: 200, Burst: 400}}
	}
	deployment := benchDeployment(cfg)
	if cfg.change != nil {
		cfg.change(&deployment)
	}
	b := &bench{Deployment: tester.NewDeployment(t, deployment), t: t, keys: map[string]string{}}
	note := b.firstNote(cfg.workspaces)
	if cfg.amend != nil {
		cfg.amend(&note)
	}
	b.apply("entry-a1", note)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.NilError(t, b.WaitReady(ctx))
	for _, e := range b.Entries {
		b.awaitAdmission(e.ID, cfg.workspaces[0].Name)
	}
	return b
}

// awaitAdmission waits until an entry has a lender of rate tokens.
func (b *bench) awaitAdmission(entry, workspace string) {
	b.t.Helper()
	tester.Eventually(b.t, patience, entry+" admits requests", func() error {
		a, err := b.call(entry, get(b.keys[workspace], "/services/label/labels/1"))
		if err == nil && a.status != http.StatusOK {
			err = errors.New(a.body)
		}
		return err
	})
}

func benchDeployment(cfg benchConfig) (d tester.DeploymentConfig) {
	d.DomainLatency = time.Millisecond
	d.DrainDelay = 500 * time.Millisecond
	for n := range max(cfg.domains, 2) {
		name := string(rune('a' + n))
		d.FailureDomains = append(d.FailureDomains, declarer.FailureDomain{Name: name, Region: "hr-north"})
		for i := range max(cfg.entries, 1) {
			id := fmt.Sprintf("entry-%s%d", name, i+1)
			d.Entries = append(d.Entries, tester.EntryConfig{ID: id, FailureDomain: name, Disk: true})
		}
		for i := range max(cfg.engines, 1) {
			d.BackendServers = append(d.BackendServers, tester.BackendServerConfig{BackendServer: declarer.BackendServer{
				Name: fmt.Sprintf("engine-%s%d", name, i+1), Kind: declarer.Engine, FailureDomain: name,
				Models: []string{model}, Capacity: 8, BatchBound: 6,
			}})
		}
		d.BackendServers = append(d.BackendServers, tester.BackendServerConfig{BackendServer: declarer.BackendServer{
			Name: "service-" + name, Kind: declarer.Service, FailureDomain: name, Service: service, Capacity: 64,
		}})
	}
	return d
}

// firstNote declares everything that the bench serves.
func (b *bench) firstNote(workspaces []declarer.Workspace) (note declarer.ReleaseNote) {
	declared := b.Declaration()
	note.Title = "bench"
	note.Added.FailureDomains = declared.FailureDomains
	note.Added.BackendServers = declared.BackendServers
	note.Added.Models = []declarer.Model{{Name: model}}
	note.Added.Workspaces = workspaces
	note.Added.Routes = []declarer.Route{
		{Name: "chat", Model: model, Idempotent: true, Batch: true},
		{Name: "label", Service: service, Idempotent: true},
		{Name: "open-label", Service: service, Idempotent: true, Open: true},
		{Name: "order", Service: service},
	}
	for _, w := range workspaces {
		b.keys[w.Name] = "key-of-" + w.Name + "-0123456789"
		note.Added.Keys = append(note.Added.Keys, declarer.Key{
			Name: w.Name, Workspace: w.Name, Digest: b.KeyDigest(b.keys[w.Name]),
		})
	}
	return note
}

// apply puts a release note into force through an entry.
func (b *bench) apply(entry string, note declarer.ReleaseNote) {
	b.t.Helper()
	assert.NilError(b.t, b.tryApply(entry, note))
}

func (b *bench) tryApply(entry string, note declarer.ReleaseNote) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(note); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	_, err := b.Apply(ctx, entry, text.String())
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

// An answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
}

// A refusal is the error of an answer.
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

// freshClient opens a connection for each call, as the balancer may send any
// call to any entry.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to an entry. The error is one of the connection.
func (b *bench) call(entry string, r request) (a answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return b.callWith(ctx, freshClient, entry, r)
}

func (b *bench) callWith(ctx context.Context, client *http.Client, entry string, r request) (a answer, err error) {
	if r.method == "" {
		r.method = http.MethodPost
	}
	url := "http://" + b.Entry(entry).Addresses().HTTP + r.path
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

// mustCall is a call that gets an answer.
func (b *bench) mustCall(entry string, r request) answer {
	b.t.Helper()
	a, err := b.call(entry, r)
	assert.NilError(b.t, err)
	return a
}

// chat is a completion request whose prompt holds a marker, which the
// engine's stand-in repeats in its answer.
func chat(key, marker string, tokens int, stream bool) request {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, stream, tokens, "marker:"+marker)
	return request{path: "/v1/chat/completions", body: body, key: key}
}

// batchItems are the JSON lines of a job.
func batchItems(job string, n, tokens int) string {
	var lines strings.Builder
	for i := range n {
		marker := fmt.Sprintf("%s-item-%d", job, i)
		fmt.Fprintf(&lines, `{"custom_id":%q,"url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			marker, model, tokens, "marker:"+marker)
	}
	return lines.String()
}

func submit(key, job, items string) request {
	return request{method: http.MethodPut, path: "/v1/batches/" + job + "?due-in=1h", body: items, key: key}
}

func get(key, path string) request {
	return request{method: http.MethodGet, path: path, key: key}
}

// received is what a backend server got.
func (b *bench) received(server string) (report emulator.Report) {
	b.t.Helper()
	response, err := freshClient.Get("http://" + b.BackendServer(server).Addresses().HTTP + "/received")
	assert.NilError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(b.t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

// platformFaults replaces what goes wrong at the platform.
func (b *bench) platformFaults(f platformemulator.Faults) {
	b.t.Helper()
	assert.NilError(b.t, b.Platform.SetFaults(b.t.Context(), f))
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

// assertWholeStream checks that an answer is the whole stream for the marker.
func assertWholeStream(t testing.TB, a answer, marker string) {
	t.Helper()
	assertOK(t, a)
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), "%s", a.body)
	assert.Assert(t, strings.Contains(a.body, marker), "%s", a.body)
}
