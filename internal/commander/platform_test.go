package commander

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a SIGHUP that ends the process and thereby aborts the requests
// of the instance, which happened at the site jhwca-cellars.
func TestReloadSignals(t *testing.T) {
	reloads, stop := reloadSignals()
	defer stop()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-reloads:
	case <-time.After(5 * time.Second):
		t.Fatal("no reload signal received")
	}
}
