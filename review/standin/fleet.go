package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var (
	started    = time.Now()
	recordMu   sync.Mutex
	recordFile io.Writer = os.Stderr
	cleanup    []func()
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all processes and ends the program.
func end(code int) {
	for n := len(cleanup) - 1; n >= 0; n-- {
		cleanup[n]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	note("cannot run: "+format, args...)
	end(exitCannotRun)
}

func readAll(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)
	return body
}

const (
	host      = "desk.example"
	apiKey    = "2b9wu3fexd9dnn2ctnfz"
	jobPrefix = "/jobs/"

	frontPort = 8405
	readyPort = 8406
	linkPort  = 7660
	lastPort  = 7675

	graceS  = 8.0
	statusS = 120
)

// fleet is a small deployment: a store, engines and the project's entries.
type fleet struct {
	root    string // Of the repository.
	folder  string // For settings and logs.
	network string // First three bytes of the addresses.
	store   *store
	journal *journal
	nodes   []*node
}

// node is a front machine with one entry.
type node struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	door  *door

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has ended.
}

func newFleet(root string) *fleet {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("make a folder: %v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(folder) })
	f := &fleet{
		root: root, folder: folder, store: newStore(), journal: &journal{},
		network: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	return f
}

func (f *fleet) address(n int) string { return f.network + strconv.Itoa(n) }

// configure writes the operator's configuration, in which the batch route leads to a
// service.
func (f *fleet) configure(version int, service string) {
	f.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-jobs", "host": host, "prefix": jobPrefix, "kind": "batch", "timeout_ms": 15000, "goal_ms": 400,
			"due_ms": 18000, "max_wait_s": 60, "max_attempts": 3, "priority": 2, "service": service, "public": false,
			"session_affinity": true, "allow_resume": true, "gap_aim_ms": 600,
		}},
		"services": []map[string]any{{"name": "lm-a", "health_path": "/health"}, {"name": "lm-b", "health_path": "/health"}},
		"tenants":  []map[string]any{{"name": "huka270", "api_keys": []string{apiKey}, "rate_per_s": 0, "burst": 0, "priority": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// startEngines starts engines of a service. Each run has some events, which take pause
// each.
func (f *fleet) startEngines(service string, count, events int, pause time.Duration) (engines []*engine) {
	for n := range count {
		id := fmt.Sprintf("i-%s-%d", service, n+1)
		engines = append(engines, startEngine(f.store, f.journal, id, service, zoneOf(n), net.JoinHostPort(f.address(100+n), "0"), events, pause))
	}
	return engines
}

func zoneOf(n int) string { return "hr-north-" + string(rune('a'+n%4)) }

// addNode prepares a front machine.
func (f *fleet) addNode() *node {
	n := len(f.nodes)
	node := &node{fleet: f, name: fmt.Sprintf("front-%s-1", zoneOf(n)), zone: zoneOf(n), ip: f.address(n + 1)}
	node.door = f.store.open(node.name, net.JoinHostPort(f.address(200+n), "0"))
	f.nodes = append(f.nodes, node)
	return node
}

// absentSections matches the sections of the settings template, all of which are for what
// this stand-in leaves absent.
var absentSections = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}.*?\{\{/[^}]*\}\}\n?`)

// settings fills in the settings template of the deploy file as the platform does.
func (n *node) settings() string {
	template, err := os.ReadFile(filepath.Join(n.fleet.root, "deploy/settings.toml.template"))
	if err != nil {
		cannotRun("read the settings template: %v", err)
	}
	text := absentSections.ReplaceAllString(string(template), "")
	for name, value := range map[string]string{
		"node": n.name, "ip": n.ip, "zone": n.zone,
		"listen.front":      net.JoinHostPort(n.ip, strconv.Itoa(frontPort)),
		"listen.ready":      net.JoinHostPort(n.ip, strconv.Itoa(readyPort)),
		"internal_ports.0":  strconv.Itoa(linkPort),
		"internal_ports.1":  strconv.Itoa(lastPort),
		"platform.address":  n.door.address,
		"limits.memory_mb":  "284",
		"bounds.grace_s":    "8",
		"bounds.status_s":   strconv.Itoa(statusS),
		"bounds.cancel_ms":  "3000",
		"bounds.drain_ms":   "2000",
		"bounds.settle_ms":  "1000",
		"bounds.finish_s":   "18",
		"machine_class":     "front",
		"limits.max_fds":    "4100",
		"limits.cpu_share":  "0.4",
		"platform.form":     "kv",
		"limits.cores":      "1",
		"bounds.recover_s":  "12",
		"bounds.catch_up_s": "4.6",
		"contracts":         "base,batch,stream,engine,tenants,quota,platform",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		cannotRun("the settings template has a field that this stand-in does not fill in")
	}
	path := filepath.Join(n.fleet.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun("write settings: %v", err)
	}
	return path
}

// start starts the entry with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open log: %v", err)
	}
	cmd := exec.Command("target/quetzalhitch", "serve")
	cmd.Dir = n.fleet.root
	cmd.Env = []string{
		"QUETZALHITCH_CONFIG=" + n.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.folder, "LANG=C.UTF-8",
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", n.name, err)
	}
	note("%s starts (pid %d)", n.name, cmd.Process.Pid)
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		note("%s has ended", n.name)
		close(done)
	}()
	cleanup = append(cleanup, func() {
		_ = cmd.Process.Kill()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
		}
	})
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	note("%s gets %v", n.name, s)
	_ = cmd.Process.Signal(s)
}

// ready asks the node whether it is ready, as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(readyPort)) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until nodes are ready.
func awaitReady(nodes ...*node) {
	limit := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(limit) {
				cannotRun("%s does not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		note("%s is ready", n.name)
	}
}

// call sends one call of a client on a new connection.
func (n *node) call(method, target, id string, body []byte, wait time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(n.ip, strconv.Itoa(frontPort))+target, bytes.NewReader(body))
	if err != nil {
		cannotRun("make a request: %v", err)
	}
	request.Host = host
	request.Header.Set("X-Key", apiKey)
	if id != "" {
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		note("client: %s %s to %s: no answer: %v", method, target, n.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		note("client: %s %s to %s: answer cut: %v", method, target, n.name, err)
		return 0, nil
	}
	note("client: %s %s to %s: %d (%d bytes)", method, target, n.name, response.StatusCode, len(answer))
	return response.StatusCode, answer
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is a batch job as its client knows it.
type job struct {
	id    string
	items []string
}

func newJob(items int) job {
	j := job{id: newID()}
	for range items {
		j.items = append(j.items, newID())
	}
	return j
}

// submit submits the job.
func (j job) submit(n *node) (status int) {
	items := make([]map[string]any, 0, len(j.items))
	for _, id := range j.items {
		items = append(items, map[string]any{
			"id": id, "path": jobPrefix + "run/" + id, "tokens": 940,
			"headers": map[string]string{"X-Model": "m", "X-Token-Usage": "540,400", "X-Prompt-Prefix": "9c2e41:300," + id[:6] + ":240"},
			"body":    base64.StdEncoding.EncodeToString([]byte("body of " + id)),
		})
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		cannotRun("encode a job: %v", err)
	}
	status, _ = n.call(http.MethodPost, jobPrefix+j.id, j.id, body, 4*time.Second)
	return status
}

// view is the answer to a read of a job.
type view struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads the results of the job from a position on.
func (j job) read(n *node, after int) (status int, v view) {
	status, body := n.call(http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "", nil, 2500*time.Millisecond)
	if status == http.StatusOK && json.Unmarshal(body, &v) != nil {
		return 0, v
	}
	return status, v
}

func (j job) has(id string) bool {
	for _, i := range j.items {
		if i == id {
			return true
		}
	}
	return false
}

// showLogs copies what the entries logged about a job to the record.
func (f *fleet) showLogs(words ...string) {
	for _, n := range f.nodes {
		data, _ := os.ReadFile(filepath.Join(f.folder, n.name+".log"))
		for line := range strings.Lines(string(data)) {
			for _, word := range words {
				if strings.Contains(line, word) {
					note("log of %s: %s", n.name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}
