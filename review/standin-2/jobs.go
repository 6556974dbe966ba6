package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Names of the deployment of a case.
const (
	onlineHost  = "ficu95.example"
	batchHost   = "lohu41.example"
	engineName  = "huvo11a"
	tenantName  = "huka270"
	tenantKey   = "2b9wu3fexd9dnn2ctnfz"
	onlinePath  = "/lohu930/"
	batchPrefix = "/pule252/"
)

var withKey = map[string]string{"X-Key": tenantKey}

func onlineRoute() map[string]any {
	return map[string]any{
		"name": "r-5ieispu", "host": onlineHost, "prefix": onlinePath, "kind": "stream", "timeout_ms": 5000, "goal_ms": 300, "priority": 0,
		"service": engineName, "max_attempts": 1, "public": false, "allow_resume": false, "gap_aim_ms": 600,
	}
}

func batchRoute(host string) map[string]any {
	return map[string]any{
		"name": "r-xsr7i42", "host": host, "prefix": batchPrefix, "kind": "batch", "timeout_ms": 15000, "goal_ms": 400, "due_ms": 18000, "max_wait_s": 100,
		"priority": 2, "service": engineName, "max_attempts": 3, "public": false,
	}
}

func tenants() []map[string]any {
	return []map[string]any{{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 60, "burst": 60}}
}

// startFleet starts engines and fronts, and waits until all machines are in touch.
func (f *fleet) startFleet(fronts, engines int, routes []map[string]any, change func(e *engine)) error {
	if err := f.startEngines(engines, change); err != nil {
		return err
	}
	f.configure(routes, tenants())
	for n := range fronts {
		if _, err := f.addFront(zoneOf(n), n+1); err != nil {
			return err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(stable)
	return nil
}

func (f *fleet) startEngines(engines int, change func(e *engine)) error {
	for n := range engines {
		if _, err := f.addEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), engineName, zoneOf(n), "v1", change); err != nil {
			return err
		}
	}
	return nil
}

func zoneOf(n int) string { return []string{"hr-north-a", "hr-north-b"}[n%2] }

// longItems makes the answers of an engine last six seconds.
func longItems(e *engine) { e.events, e.step = 200, 30*time.Millisecond }

func itemID(job string, n int) string { return fmt.Sprintf("%s-%d", job, n) }

// submit submits a batch job, and fails unless it is accepted.
func (f *fleet) submit(fr *front, host, job string, items int) error {
	var list []map[string]any
	for n := range items {
		id := itemID(job, n)
		list = append(list, map[string]any{
			"id": id, "path": batchPrefix + "3/" + id, "headers": map[string]string{"X-Model": "m", "X-Token-Usage": "350,400", "X-Prompt-Prefix": "9c2e41:100,5d07b8:250"},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt " + id)), "tokens": 750,
		})
	}
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		return err
	}
	x := f.send(fr, http.MethodPost, host, batchPrefix+job[:6], job, withKey, body, 3*time.Second)
	if x.status != http.StatusAccepted {
		return fmt.Errorf("job %s was answered %d", job, x.status)
	}
	return nil
}

// A view is the answer to a read of a batch job.
type view struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

func (f *fleet) read(fr *front, host, job string, after int) (x exchange, v view) {
	x = f.send(fr, http.MethodGet, host, fmt.Sprintf("/lots/%s?after=%d", job, after), "", withKey, nil, 3*time.Second)
	_ = json.Unmarshal(x.body, &v)
	return x, v
}

// isGone reports whether an answer says that a batch job does not exist.
func (x exchange) isGone() bool {
	return x.status == http.StatusNotFound || x.status == http.StatusGone
}
