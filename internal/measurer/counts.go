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

// Parts of the lines of the metrics page that hold the batch counters.
const (
	itemsCounterPrefix  = "dispatcher_batch_items_total{"
	okLabel             = `code="ok"`
	yieldsCounterPrefix = "dispatcher_batch_yields_total"
)

// batchCounts are sums of the entries' counters. A restarted entry counts from
// zero, so the sums are valid only in runs without lost processes.
type batchCounts struct {
	succeeded int // Successful attempts.
	yielded   int // Attempts cancelled in favour of online requests.
}

// since returns the increase over earlier counts.
func (c batchCounts) since(before batchCounts) batchCounts {
	return batchCounts{succeeded: max(0, c.succeeded-before.succeeded), yielded: max(0, c.yielded-before.yielded)}
}

// readBatchCounts sums the counters of all entries. An entry that does not
// respond counts as zero.
func (c *client) readBatchCounts(ctx context.Context) (sum batchCounts) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
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

// add adds the counters on the metrics page of one entry.
func (c *batchCounts) add(page io.Reader) {
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		line := lines.Text()
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		switch {
		case err != nil:
		case strings.HasPrefix(line, itemsCounterPrefix) && strings.Contains(line, okLabel):
			c.succeeded += int(value)
		case strings.HasPrefix(line, yieldsCounterPrefix):
			c.yielded += int(value)
		}
	}
}
