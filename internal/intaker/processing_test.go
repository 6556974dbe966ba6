package intaker

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func TestProcessing(t *testing.T) {
	const memoryMB = 36 // A budget of 6 MB, of which 1 MB is processed at a time.
	begin := func(t *testing.T, b *Budget, n int) (end func()) {
		t.Helper()
		end, err := b.BeginProcessing(t.Context(), n)
		assert.NilError(t, err)
		return end
	}
	newBudget := func() *Budget { return NewBudget(memoryMB, clockwork.NewRealClock(), logrus.New()) }
	// Guards against large bodies that are decoded at once, and against one that never is.
	t.Run("a body above the bound is processed alone", func(t *testing.T) {
		b := newBudget()
		end := begin(t, b, 4<<20)
		_, err := b.BeginProcessing(t.Context(), smallBytes+1)
		assert.ErrorIs(t, err, ErrOverloaded)
		end()
		begin(t, b, 4<<20)()
	})
	// Guards against small requests that wait for large ones.
	t.Run("small bodies have room of their own", func(t *testing.T) {
		b := newBudget()
		defer begin(t, b, 4<<20)()
		defer begin(t, b, smallBytes)()
		begin(t, b, 0)()
	})
	t.Run("small bodies are bounded too", func(t *testing.T) {
		b := newBudget()
		for range (1 << 20) / smallBytes {
			defer begin(t, b, smallBytes)()
		}
		_, err := b.BeginProcessing(t.Context(), smallBytes)
		assert.ErrorIs(t, err, ErrOverloaded)
	})
}
