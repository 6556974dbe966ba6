package jobkeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// maxPageBytes is the size of a page that callers accept.
const maxPageBytes = 1_000_000

// encodedJSON returns a value as JSON in which only those characters are escaped that have
// to be.
func encodedJSON(t *testing.T, v any) string {
	t.Helper()
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	assert.NilError(t, encoder.Encode(v))
	return strings.TrimSuffix(b.String(), "\n")
}

// TestPageBytes guards against pages of results that callers do not accept, behind which
// no later result can be read.
func TestPageBytes(t *testing.T) {
	results := func(ids ...string) (listed []Result) {
		for _, id := range ids {
			listed = append(listed, Result{Item: id, State: StateDeadLettered, Text: strings.Repeat("\x01", 150_000)})
		}
		return listed
	}
	assertPage := func(t *testing.T, v View, after, n int) {
		t.Helper()
		assert.Equal(t, len(v.Results), n)
		assert.Equal(t, v.Next, after+n)
		page := encodedJSON(t, v.Results)
		assert.Assert(t, len(page) <= maxPageBytes, "a page of %d bytes", len(page))
	}
	t.Run("control characters", func(t *testing.T) {
		listed := results("i1", "i2", "i3")
		assertPage(t, newView(3, listed, 0, false), 0, 1)
		assertPage(t, newView(3, listed, 2, false), 2, 1)
		assertPage(t, newView(3, listed, 3, false), 3, 0)
	})
	t.Run("long IDs", func(t *testing.T) {
		var listed []Result
		for _, id := range largeIDs(20) {
			listed = append(listed, Result{Item: id})
		}
		assertPage(t, newView(20, listed, 0, false), 0, 11)
	})
	t.Run("an owner of an earlier build returns more", func(t *testing.T) {
		c := newTestCluster()
		c.storeJob(t, manifest("i1", "i2", "i3"))
		k := c.startKeeper(t, "k1")
		c.network.mu.Lock()
		c.network.handlers["gone"] = linker.HandlerFunc(func(context.Context, string, []byte) ([]byte, error) {
			return linker.Marshal(jobResponse{Owned: true, Found: true, View: View{Total: 3, Next: 3, Results: results("i1", "i2", "i3")}})
		})
		c.network.mu.Unlock()
		assertPage(t, read(t, k), 0, 1)
	})
}

// TestJSONBytes guards against sizes that are below those of the encoded texts.
func TestJSONBytes(t *testing.T) {
	var all strings.Builder
	for r := rune(0); r < 0x3000; r++ {
		all.WriteRune(r)
	}
	for _, text := range []string{"", "plain", "\"\\\n\r\t\b\f\x00\x7f", "<>&", "\u2028\u2029\ufffd", "\xff\xc0a\xe2\x80", "😀", all.String()} {
		want := len(encodedJSON(t, text)) - len(`""`)
		got := jsonBytes(text)
		assert.Assert(t, got >= want, "%d bytes for %q, which takes %d", got, text, want)
	}
}
