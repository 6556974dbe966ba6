package reporter

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// A RedactionHook removes the fields whose names suggest a caller's key, the
// digest of a key or a prompt. It is only a second line of defence: code must not
// log such values in the first place, and the hook does not inspect messages or
// the values of other fields.
type RedactionHook struct{}

// Levels implements logrus.Hook.
func (RedactionHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The entry's fields are a copy made for this
// line, so that removing them does not affect the logger.
func (RedactionHook) Fire(e *logrus.Entry) error {
	for name := range e.Data {
		if isSecretField(name) {
			delete(e.Data, name)
		}
	}
	return nil
}

func isSecretField(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "digest", "key", "prompt":
		return true
	default:
		return false
	}
}
