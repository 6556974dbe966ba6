package explainer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func read(t *testing.T, lines ...string) *Explainer {
	t.Helper()
	e := &Explainer{}
	assert.NilError(t, e.Read("i1", strings.NewReader(strings.Join(lines, "\n"))))
	return e
}

func assertTimeline(t *testing.T, e *Explainer, id string, want ...string) {
	t.Helper()
	var messages []string
	for _, line := range e.Timeline(id) {
		messages = append(messages, line.Message)
	}
	assert.DeepEqual(t, messages, want)
}

// TestTimeline guards against timelines that lack the state an instance knew, or
// that include unrelated or later state.
func TestTimeline(t *testing.T) {
	const request = `{"message":"request refused","request":"q1","backend-server":"s1","time":"2026-12-04T12:00:10Z"}`
	t.Run("the latest state of a peer", func(t *testing.T) {
		e := read(
			t,
			`{"message":"peer heard","peer":"i2","time":"2026-12-04T12:00:01Z"}`,
			`{"message":"peer lost","peer":"i2","time":"2026-12-04T12:00:02Z"}`,
			request,
			`{"message":"peer heard","peer":"i2","time":"2026-12-04T12:00:11Z"}`,
		)
		assertTimeline(t, e, "q1", "peer lost", "request refused")
	})
	t.Run("server state near the request", func(t *testing.T) {
		e := read(
			t,
			`{"message":"far","backend-server":"s1","time":"2026-12-04T11:59:00Z"}`,
			`{"message":"near","backend-server":"s1","time":"2026-12-04T12:00:12Z"}`,
			`{"message":"other","backend-server":"s2","time":"2026-12-04T12:00:10Z"}`,
			request,
		)
		assertTimeline(t, e, "q1", "request refused", "near")
	})
	t.Run("an item of a job", func(t *testing.T) {
		e := read(t, `{"message":"item run ended","job":"j1","item":"i7","time":"2026-12-04T12:00:10Z"}`)
		assertTimeline(t, e, "i7", "item run ended")
		assertTimeline(t, e, "j1", "item run ended")
	})
	t.Run("lines that cannot be parsed are counted", func(t *testing.T) {
		e := read(t, "panic: no", `{"message":"no time"}`, `{"message":`, request)
		assert.Equal(t, e.SkippedLines(), 3)
		assertTimeline(t, e, "q1", "request refused")
	})
}
