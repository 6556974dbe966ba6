package reporter

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against secrets that are logged as fields, in either format and through
// derived entries.
func TestLoggerDropsSecretFields(t *testing.T) {
	const secret = "wk-secret-value"
	for _, format := range []LogFormat{FormatJSON, FormatText} {
		for _, field := range []string{"key", "Authorization", "DIGEST", "prompt"} {
			t.Run(string(format)+"/"+field, func(t *testing.T) {
				var out bytes.Buffer
				logger, err := NewLogger(LogConfig{Format: format}, &out)
				assert.NilError(t, err)

				entry := logger.WithField(field, secret).WithField(FieldWorkspace, "ljepilo")
				entry.Info("request admitted")

				assert.Assert(t, !strings.Contains(out.String(), secret), out.String())
				assert.Assert(t, cmp.Contains(out.String(), "ljepilo"))
				assert.Equal(t, entry.Data[field], secret, "the hook changed the caller's entry")
			})
		}
	}
}

// Guards against lines that a JSON log parser cannot read.
func TestLoggerWritesJSON(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(LogConfig{}, &out)
	assert.NilError(t, err)

	logger.Debug("below the level")
	logger.WithField(FieldBackendServer, "lm-desk-3").Warn("server chosen")

	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["message"], "server chosen")
	assert.Equal(t, line["level"], "warning")
	assert.Equal(t, line["backend-server"], "lm-desk-3")
}

// Guards against lines that are as long as what callers send.
func TestLoggerTruncatesFields(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(LogConfig{}, &out)
	assert.NilError(t, err)
	long := strings.Repeat("\u20ac", 10_000)
	entry := logger.WithFields(logrus.Fields{"request": long, "job": "j1"}).WithError(errors.New(long))
	entry.Info("request refused")

	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Assert(t, out.Len() < 3*maxFieldBytes, "%d bytes", out.Len())
	assert.Assert(t, strings.HasPrefix(line["request"].(string), "\u20ac\u20ac"))
	assert.Assert(t, strings.HasSuffix(line["error"].(string), "\u20ac..."))
	assert.Equal(t, line["job"], "j1")
	assert.Equal(t, entry.Data["request"], long, "the hook changed the caller's entry")
}

// Guards against a typo in the settings that silences the log.
func TestLoggerRefusesUnknownSettings(t *testing.T) {
	for _, cfg := range []LogConfig{{Format: "xml"}, {Level: "loud"}} {
		_, err := NewLogger(cfg, &bytes.Buffer{})
		assert.ErrorContains(t, err, "set up the log")
	}
	logger, err := NewLogger(LogConfig{Level: "debug"}, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Equal(t, logger.GetLevel(), logrus.DebugLevel)
}
