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
	// testLimit bounds waits for conditions that hold within milliseconds on
	// an idle machine.
	testLimit = 20 * time.Second
	// answerLimit is how long a test waits before it calls a way silent.
	answerLimit = 300 * time.Millisecond
)

// roleVariable makes this test program run as one of the processes that the
// tests start.
const roleVariable = "QUETZALHITCH_TESTER_ROLE"

// Values of roleVariable.
const (
	roleEntry   = "entry"
	roleStarter = "starter"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleEntry:
		runToyEntry(os.Args)
	case roleStarter:
		runStarter(os.Args[1])
	default:
		os.Exit(Main(m))
	}
}

// answers says whether a server answers on a new connection.
func answers(address string) Condition {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
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
			return errors.New("the opposite holds")
		}
		return nil
	}
}

// gone says whether a process has ended and been reaped.
func gone(pid int) Condition {
	return func() error {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			return fmt.Errorf("process %d is there in state %q (%w)", pid, processState(pid), err)
		}
		return nil
	}
}

// assertReads fails unless exactly the text comes next.
func assertReads(t *testing.T, r io.Reader, text string) {
	t.Helper()
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(r, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), text)
}
