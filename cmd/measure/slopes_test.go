package main

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/internal/parser"
)

func assertFit(t *testing.T, s regression, want regression) {
	t.Helper()
	s.fit()
	for _, pair := range [][2]float64{
		{s.Slope, want.Slope}, {s.Intercept, want.Intercept}, {s.MaxResidual, want.MaxResidual},
	} {
		assert.Assert(t, math.Abs(pair[0]-pair[1]) < 1e-9, "slope %g, intercept %g, spread %g", s.Slope, s.Intercept, s.MaxResidual)
	}
}

// Guards against a wrong regression, which would falsify extrapolations.
func TestFit(t *testing.T) {
	t.Run("values on a line", func(t *testing.T) {
		assertFit(t, regression{Points: []point{{4, []float64{11, 11}}, {8, []float64{19}}}}, regression{Slope: 2, Intercept: 3})
	})
	t.Run("values about a line", func(t *testing.T) {
		s := regression{Points: []point{{1, []float64{0, 2}}, {2, []float64{1, 3}}}}
		assertFit(t, s, regression{Slope: 1, Intercept: 0, MaxResidual: 1})
	})
	t.Run("one size", func(t *testing.T) {
		assertFit(t, regression{Points: []point{{4, []float64{1, 3}}}}, regression{Intercept: 2, MaxResidual: 1})
	})
}

// Guards against counting messages of another kind or direction in a metric.
func TestParseMetrics(t *testing.T) {
	got := parseMetrics(`# TYPE process_cpu_seconds_total counter
process_cpu_seconds_total 1.5
process_resident_memory_bytes 2.5e+07
linker_messages_total{direction="sent",kind="borrow"} 3
linker_messages_total{direction="received",kind="heartbeat"} 4
linker_frame_bytes_total{direction="sent",kind="borrow"} 100
linker_frame_bytes_total{direction="sent",kind="object-put"} 20
linker_frame_bytes_total{direction="sent",kind="heartbeat"} 3
linker_frame_bytes_total{direction="received",kind="heartbeat"} 1000
`)
	assert.Equal(t, got, entryMetrics{
		CPU: 1.5, Resident: 2.5e7, Messages: 7, Borrows: 3,
		SentBytes: 123, BorrowBytes: 100, ObjectBytes: 20, HeartbeatBytes: 3,
	})
}

// Guards against the loss of earlier results when a part fails.
func TestSlopesOfUnknownPart(t *testing.T) {
	folder := t.TempDir()
	stdout, stderr := measure(t, parser.ExitFailure, "slopes", "unknown", "--folder", folder)
	assert.Assert(t, cmp.Contains(stdout, "intercept"))
	assert.Assert(t, cmp.Contains(stderr, `unknown part "unknown"`))
	content, err := os.ReadFile(filepath.Join(folder, slopesFile)) //nolint:gosec // Path of this test.
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(content, &slopeReport{}))
}
