package refuser

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefusal(t *testing.T) {
	// Guards against a Retry-After that makes the caller retry too early.
	t.Run("seconds are rounded up", func(t *testing.T) {
		r := New(RateExceeded, NotRun, "later")
		r.RetryAfter = 1100 * time.Millisecond
		data, err := json.Marshal(r)
		assert.NilError(t, err)
		assert.Equal(t, string(data),
			`{"error":{"code":"rate-exceeded","message":"later","outcome":"not-run","retry-after-seconds":2}}`)
	})

	// Guards against a refusal that loses information when a client decodes it.
	t.Run("JSON round trip", func(t *testing.T) {
		want := New(InDoubt, Unknown, "the first try has not ended")
		data, err := json.Marshal(want)
		assert.NilError(t, err)
		var got Refusal
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.DeepEqual(t, &got, want)
	})

	// Guards against a code with a status that is not an HTTP error.
	t.Run("each code has a status", func(t *testing.T) {
		for code, status := range statuses {
			assert.Assert(t, status >= 400 && status < 600, "code %s", code)
			assert.Equal(t, New(code, NotRun, "").Status, status)
		}
	})
}
