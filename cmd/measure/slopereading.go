package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Roles of an entry. One entry can have several.
const (
	roleAll       = "all"
	roleEntry     = "entry" // It has no other role.
	roleDisk      = "disk"
	roleLender    = "lender"
	rolePlacement = "placement"
)

// Keys of the platform that name the holder of a lease.
const (
	lenderPrefix   = "lender/"
	placementKey   = "placement/lease"
	jobsPrefix     = "batch/jobs/"
	snapshotPrefix = "config/snapshot/"
)

// A page is what the metrics page of an entry says.
type page struct {
	CPU            float64 // Seconds.
	Resident       float64 // Bytes.
	Messages       float64 // On links, in both directions.
	SentBytes      float64 // Of frames.
	HeartbeatBytes float64 // Of frames sent.
	BorrowBytes    float64 // Of frames sent of kinds borrow and return.
	Borrows        float64 // Messages of kinds borrow and return.
	ObjectBytes    float64 // Of frames sent of kinds object-put and object-get.
}

// parsePage reads the lines of a metrics page that are needed.
func parsePage(content string) (p page) {
	for line := range strings.Lines(content) {
		name, number, ok := strings.Cut(strings.TrimSpace(line), " ")
		if i := strings.LastIndex(line, "} "); i >= 0 {
			name, number = line[:i+1], strings.TrimSpace(line[i+2:])
		}
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			continue
		}
		p.add(name, value)
	}
	return p
}

func (p *page) add(name string, value float64) {
	borrow := strings.Contains(name, `kind="borrow"`) || strings.Contains(name, `kind="return"`)
	sent := strings.Contains(name, `direction="sent"`)
	switch {
	case name == "process_cpu_seconds_total":
		p.CPU = value
	case name == "process_resident_memory_bytes":
		p.Resident = value
	case strings.HasPrefix(name, "linker_messages_total{"):
		p.Messages += value
		if borrow {
			p.Borrows += value
		}
	case strings.HasPrefix(name, "linker_frame_bytes_total{") && sent:
		p.SentBytes += value
		switch {
		case borrow:
			p.BorrowBytes += value
		case strings.Contains(name, `kind="heartbeat"`):
			p.HeartbeatBytes += value
		case strings.Contains(name, `kind="object-`):
			p.ObjectBytes += value
		}
	}
}

// A reading is the state of a whole deployment at one time.
type reading struct {
	At        time.Time
	Pages     []page // In the order of the entries.
	Platform  platformemulator.Stats
	Datagrams float64 // Of all links together.
	WireBytes float64 // UDP payloads of all links together.
}

func readSlopes(ctx context.Context, f *fleet) (r reading, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "read the counters of a deployment")
		}
	}()

	r.At = time.Now()
	for _, e := range f.deployment.Entries {
		content, err := get(ctx, "http://"+e.Addresses().HTTP+"/metrics")
		if err != nil {
			return r, err
		}
		r.Pages = append(r.Pages, parsePage(string(content)))
		datagrams, bytes := e.LinkRouter.Traffic()
		r.Datagrams += float64(datagrams)
		r.WireBytes += float64(bytes)
	}
	content, err := get(ctx, "http://"+f.deployment.Platform.Addresses().Control+platformemulator.PathStats)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(content, &r.Platform)
}

func get(ctx context.Context, url string) (content []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = merry.Errorf("%s: status %d: %s", url, resp.StatusCode, content)
	}
	return content, err
}

// platformClient returns a client past all relays.
func platformClient(f *fleet) *storer.Client {
	return storer.NewClient(storer.ClientConfig{
		Address:      f.deployment.Platform.Addresses().HTTP,
		ClientID:     "measure",
		CallTimeout:  10 * time.Second,
		WatchTimeout: 10 * time.Second,
		Clock:        clockwork.NewRealClock(),
	})
}

// roles returns the roles of each entry, in the order of the entries.
func roles(ctx context.Context, f *fleet) (all [][]string, err error) {
	client := platformClient(f)
	lenders, err := client.List(ctx, lenderPrefix)
	if err != nil {
		return nil, err
	}
	placements, err := client.List(ctx, placementKey)
	if err != nil {
		return nil, err
	}
	for _, e := range f.deployment.Entries {
		var own []string
		if e.Disk {
			own = append(own, roleDisk)
		}
		if names(lenders, e.ID) {
			own = append(own, roleLender)
		}
		if names(placements, e.ID) {
			own = append(own, rolePlacement)
		}
		if len(own) == 0 {
			own = []string{roleEntry}
		}
		all = append(all, own)
	}
	return all, nil
}

// largest returns the size of the largest record under a prefix.
func largest(ctx context.Context, f *fleet, prefix string) (n int, err error) {
	records, err := platformClient(f).List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		n = max(n, len(r.Value))
	}
	return n, nil
}

// names says whether a record names an instance.
func names(records []storer.Entry, instance string) bool {
	for _, r := range records {
		if bytes.Contains(r.Value, []byte(instance)) {
			return true
		}
	}
	return false
}
