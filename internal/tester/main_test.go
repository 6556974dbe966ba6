package tester

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// testTimeout bounds waits for conditions that are met within milliseconds
	// on an idle machine.
	testTimeout = 20 * time.Second
	// answerTimeout is how long a test waits before it assumes that no answer
	// will come.
	answerTimeout = 300 * time.Millisecond
)

// roleVariable is the environment variable that makes this test binary run as
// one of the processes that the tests start.
const roleVariable = "QUETZALHITCH_TESTER_ROLE"

// Values of roleVariable.
const (
	roleEntry   = "entry"
	roleStarter = "starter"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleEntry:
		runFakeEntry(os.Args)
	case roleStarter:
		runStarter(os.Args[1])
	default:
		os.Exit(Main(m))
	}
}

// answers is the condition that a server answers on a new connection.
func answers(address string) Condition {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		if err != nil {
			return err
		}
		_, _, err = call(req)
		return err
	}
}

func not(condition Condition) Condition {
	return func() error {
		if condition() == nil {
			return errors.New("the condition holds")
		}
		return nil
	}
}

// exited is the condition that a process has ended and been reaped.
func exited(pid int) Condition {
	return func() error {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			return fmt.Errorf("process %d still exists in state %q (%w)", pid, processState(pid), err)
		}
		return nil
	}
}

// assertReads checks that the next bytes of the reader are the text.
func assertReads(t *testing.T, r io.Reader, text string) {
	t.Helper()
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(r, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), text)
}
