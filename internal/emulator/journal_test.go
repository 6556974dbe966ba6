package emulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestJournalBytes guards against a journal that keeps large bodies without bound, and
// against one that loses requests.
func TestJournalBytes(t *testing.T) {
	const (
		size      = 6
		bodyBytes = maxJournalBytes/4 + 1
	)
	j := NewJournal(size)
	for n := range 2*size + 1 {
		_, err := j.Record(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bodyBytes))))
		assert.NilError(t, err)
		report := j.Report()
		assert.Equal(t, len(report.Requests), min(n+1, size))
		held := 0
		for _, r := range report.Requests {
			held += len(r.Body)
		}
		assert.Equal(t, held, min(n+1, 3)*bodyBytes)
		assert.Equal(t, j.bytes, held)
	}
	for _, n := range j.Report().Counts {
		assert.Equal(t, n, 2*size+1)
	}
}
