package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/internal/parser"
)

// Guards against an emulator that does not report its address, or that does not
// stop when its context ends.
func TestEmulatorsReportTheirAddress(t *testing.T) {
	for _, kind := range []string{"engine", "platform", "service"} {
		t.Run(kind, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			r, w := io.Pipe()
			var stderr bytes.Buffer
			code := make(chan int, 1)
			go func() { code <- run(ctx, []string{kind}, w, &stderr) }()

			var line startupReport
			assert.NilError(t, json.NewDecoder(r).Decode(&line))
			resp, err := http.Get("http://" + line.Listening.HTTP)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())

			cancel()
			assert.Equal(t, <-code, parser.ExitOK, stderr.String())
		})
	}
}

// Guards against wrong arguments that do not lead to a usage error.
func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{{}, {"engines"}, {"engine", "--port=1"}} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, run(t.Context(), arguments, &stdout, &stderr), parser.ExitUsage)
		assert.Assert(t, cmp.Contains(stderr.String(), "Usage"))
	}
}

// Guards against an emulator that does not report that it cannot listen.
func TestAddressInUse(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), []string{"service", "--address", "127.0.0.1:999999"}, &stdout, &stderr)
	assert.Equal(t, code, parser.ExitFailure)
	assert.Equal(t, stdout.String(), "")
	assert.Assert(t, cmp.Contains(stderr.String(), "open emulator on"))
}
