package measurer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const metricsPath = "/metrics"

// Starts of the lines of entries' counters.
const (
	itemsCounter  = "dispatcher_batch_items_total{"
	okAttribute   = `code="ok"`
	yieldsCounter = "dispatcher_batch_yields_total"
)

// batchCounts are sums of entries' counters. An entry that started again counts
// from zero, so they are of use only in runs without lost processes.
type batchCounts struct {
	ran     int // Tries that were answered.
	yielded int // Tries that made way for online requests.
}

func (c batchCounts) since(before batchCounts) batchCounts {
	return batchCounts{ran: max(0, c.ran-before.ran), yielded: max(0, c.yielded-before.yielded)}
}

// countBatch adds up the counters of all entries; one that does not answer
// counts nothing.
func (c *client) countBatch(ctx context.Context) (sum batchCounts) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	for _, address := range c.balancer.lister.EntryAddresses() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, nil)
		if err != nil {
			continue
		}
		resp, err := c.http.Do(req)
		if err != nil {
			continue
		}
		sum.add(resp.Body)
		_ = resp.Body.Close()
	}
	return sum
}

// add reads the page of one entry.
func (c *batchCounts) add(page io.Reader) {
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		line := lines.Text()
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		switch {
		case err != nil:
		case strings.HasPrefix(line, itemsCounter) && strings.Contains(line, okAttribute):
			c.ran += int(value)
		case strings.HasPrefix(line, yieldsCounter):
			c.yielded += int(value)
		}
	}
}
