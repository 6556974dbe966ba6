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

// Roles of an entry, which can have several.
const (
	roleAll       = "all"
	roleEntry     = "entry" // None of the roles below.
	roleDisk      = "disk"
	roleLender    = "lender"
	rolePlacement = "placement"
)

// Keys and key prefixes in the platform's store. The values of the first two
// name the holder of a lease.
const (
	lenderPrefix   = "lender/"
	placementKey   = "placement/lease"
	jobsPrefix     = "batch/jobs/"
	snapshotPrefix = "config/snapshot/"
)

// An entryMetrics holds the values from the metrics page of an entry.
type entryMetrics struct {
	CPU            float64 // Seconds.
	Resident       float64 // Bytes.
	Messages       float64 // On links, in both directions.
	SentBytes      float64 // Of frames, on links.
	HeartbeatBytes float64 // Of frames sent.
	BorrowBytes    float64 // Of frames sent of kinds borrow and return.
	Borrows        float64 // Messages of kinds borrow and return.
	ObjectBytes    float64 // Of frames sent of kinds object-put and object-get.
}

// parseMetrics parses the relevant lines of a metrics page.
func parseMetrics(content string) (m entryMetrics) {
	for line := range strings.Lines(content) {
		name, number, ok := strings.Cut(strings.TrimSpace(line), " ")
		if i := strings.LastIndex(line, "} "); i >= 0 {
			name, number = line[:i+1], strings.TrimSpace(line[i+2:])
		}
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			continue
		}
		m.add(name, value)
	}
	return m
}

func (m *entryMetrics) add(name string, value float64) {
	borrow := strings.Contains(name, `kind="borrow"`) || strings.Contains(name, `kind="return"`)
	sent := strings.Contains(name, `direction="sent"`)
	switch {
	case name == "process_cpu_seconds_total":
		m.CPU = value
	case name == "process_resident_memory_bytes":
		m.Resident = value
	case strings.HasPrefix(name, "linker_messages_total{"):
		m.Messages += value
		if borrow {
			m.Borrows += value
		}
	case strings.HasPrefix(name, "linker_frame_bytes_total{") && sent:
		m.SentBytes += value
		switch {
		case borrow:
			m.BorrowBytes += value
		case strings.Contains(name, `kind="heartbeat"`):
			m.HeartbeatBytes += value
		case strings.Contains(name, `kind="object-`):
			m.ObjectBytes += value
		}
	}
}

// A sample holds the counters of a whole deployment at one time.
type sample struct {
	At        time.Time
	Entries   []entryMetrics // In the order of the entries.
	Platform  platformemulator.Stats
	Datagrams float64 // Of all links together.
	UDPBytes  float64 // UDP payload of all links together.
}

func takeSample(ctx context.Context, f *fleet) (s sample, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "read the counters of the deployment")
		}
	}()

	s.At = time.Now()
	for _, e := range f.deployment.Entries {
		content, err := httpGet(ctx, "http://"+e.Addresses().HTTP+"/metrics")
		if err != nil {
			return s, err
		}
		s.Entries = append(s.Entries, parseMetrics(string(content)))
		datagrams, bytes := e.LinkRouter.Traffic()
		s.Datagrams += float64(datagrams)
		s.UDPBytes += float64(bytes)
	}
	content, err := httpGet(ctx, "http://"+f.deployment.Platform.Addresses().Control+platformemulator.PathStats)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(content, &s.Platform)
}

func httpGet(ctx context.Context, url string) (content []byte, err error) {
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

// newPlatformClient returns a client that bypasses the relays.
func newPlatformClient(f *fleet) *storer.Client {
	return storer.NewClient(storer.ClientConfig{
		Address:      f.deployment.Platform.Addresses().HTTP,
		ClientID:     "measure",
		CallTimeout:  10 * time.Second,
		WatchTimeout: 10 * time.Second,
		Clock:        clockwork.NewRealClock(),
	})
}

// entryRoles returns the roles of each entry, in the order of the entries.
func entryRoles(ctx context.Context, f *fleet) (all [][]string, err error) {
	client := newPlatformClient(f)
	lenders, err := client.List(ctx, lenderPrefix)
	if err != nil {
		return nil, err
	}
	placements, err := client.List(ctx, placementKey)
	if err != nil {
		return nil, err
	}
	for _, e := range f.deployment.Entries {
		var roles []string
		if e.Disk {
			roles = append(roles, roleDisk)
		}
		if mentionsInstance(lenders, e.ID) {
			roles = append(roles, roleLender)
		}
		if mentionsInstance(placements, e.ID) {
			roles = append(roles, rolePlacement)
		}
		if len(roles) == 0 {
			roles = []string{roleEntry}
		}
		all = append(all, roles)
	}
	return all, nil
}

// largestRecord returns the size of the largest record under a prefix.
func largestRecord(ctx context.Context, f *fleet, prefix string) (n int, err error) {
	records, err := newPlatformClient(f).List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		n = max(n, len(r.Value))
	}
	return n, nil
}

// mentionsInstance reports whether a record contains the ID of an instance.
func mentionsInstance(records []storer.Entry, instance string) bool {
	for _, r := range records {
		if bytes.Contains(r.Value, []byte(instance)) {
			return true
		}
	}
	return false
}
