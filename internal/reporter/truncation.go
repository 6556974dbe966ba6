package reporter

import (
	"strings"

	"github.com/sirupsen/logrus"
)

const (
	// maxFieldBytes is the maximum size of the text of a field. Callers choose some of
	// them, such as the IDs of their requests.
	maxFieldBytes = 1 << 10
	// maxStackBytes is that of the stack of a goroutine that panicked.
	maxStackBytes = 16 << 10
	// FieldStack names the field that holds such a stack.
	FieldStack = "stack"
)

// A TruncationHook truncates the texts of fields.
type TruncationHook struct{}

// Levels implements logrus.Hook.
func (TruncationHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The entry's fields are a copy made for this line.
func (TruncationHook) Fire(e *logrus.Entry) error {
	for name, value := range e.Data {
		limit := maxFieldBytes
		if name == FieldStack {
			limit = maxStackBytes
		}
		switch value := value.(type) {
		case string:
			e.Data[name] = truncate(value, limit)
		case error:
			if text := value.Error(); len(text) > limit {
				e.Data[name] = truncate(text, limit)
			}
		}
	}
	return nil
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
