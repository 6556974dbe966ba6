package tester

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func serviceCommand(t *testing.T) Command {
	return Command{Name: "service", Path: SharedBinaries(t).Emulator, Arguments: []string{"service"}}
}

// runStarter starts a process, prints its PID and waits to be killed.
func runStarter(path string) {
	p, err := StartProcess(context.Background(), Command{
		Name: "orphan", Path: path, Arguments: []string{"service"}, Folder: os.TempDir(),
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(p.PID)
	<-p.Ended()
}

// Guards against a freeze that only slows a process down, or that ends it.
func TestFreezeAndContinue(t *testing.T) {
	p, a := StartListening(t, serviceCommand(t))
	assert.NilError(t, answers(a.HTTP)())

	assert.NilError(t, p.Freeze())
	Always(t, answerTimeout, "the frozen process does not answer", not(answers(a.HTTP)))
	assert.Assert(t, p.Running())

	assert.NilError(t, p.Continue())
	Eventually(t, testTimeout, "the continued process answers", answers(a.HTTP))
}

// Guards against a kill that lets the process finish, and against a WaitExit
// that does not tell kills, normal exits and failed starts apart.
func TestProcessExits(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		p, a := StartListening(t, serviceCommand(t))
		p.Kill()
		state, err := p.WaitExit(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Sys().(syscall.WaitStatus).Signal(), syscall.SIGKILL)
		assert.ErrorContains(t, answers(a.HTTP)(), "refused")
	})
	t.Run("killed while frozen", func(t *testing.T) {
		p, _ := StartListening(t, serviceCommand(t))
		assert.NilError(t, p.Freeze())
		p.Kill()
		assert.NilError(t, exited(p.PID)())
	})
	t.Run("terminated", func(t *testing.T) {
		p, _ := StartListening(t, serviceCommand(t))
		assert.NilError(t, p.Terminate())
		state, err := p.WaitExit(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.ExitCode(), 0)
	})
	t.Run("ended before it listened", func(t *testing.T) {
		c := serviceCommand(t)
		c.Arguments = []string{"no-such-emulator"}
		_, err := Start(t, c).WaitListening(t.Context())
		assert.ErrorContains(t, err, "ended before it listened")
		assert.ErrorContains(t, err, "Usage: emulator")
	})
}

// Guards against processes that outlive their test, their context or the
// program that started them.
func TestProcessesAreCleanedUp(t *testing.T) {
	t.Run("after a test", func(t *testing.T) {
		pids := make(map[string]int)
		for _, name := range []string{"running", "frozen"} {
			t.Run(name, func(t *testing.T) {
				p, _ := StartListening(t, serviceCommand(t))
				pids[name] = p.PID
				if name == "frozen" {
					assert.NilError(t, p.Freeze())
				}
			})
		}
		for _, pid := range pids {
			assert.NilError(t, exited(pid)())
		}
	})
	t.Run("after the context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := serviceCommand(t)
		c.Folder = t.TempDir()
		p, err := StartProcess(ctx, c)
		assert.NilError(t, err)
		cancel()
		_, err = p.WaitExit(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, exited(p.PID)())
	})
	t.Run("after the starter was killed", func(t *testing.T) {
		self, err := os.Executable()
		assert.NilError(t, err)
		starter := exec.CommandContext(t.Context(), self, SharedBinaries(t).Emulator)
		starter.Env = append(os.Environ(), roleVariable+"="+roleStarter, "TMPDIR="+t.TempDir())
		stdout, err := starter.StdoutPipe()
		assert.NilError(t, err)
		assert.NilError(t, starter.Start())
		line, err := bufio.NewReader(stdout).ReadString('\n')
		assert.NilError(t, err)
		pid, err := strconv.Atoi(strings.TrimSpace(line))
		assert.NilError(t, err)
		assert.NilError(t, syscall.Kill(pid, 0))

		assert.NilError(t, starter.Process.Kill())
		assert.ErrorContains(t, starter.Wait(), "killed")
		Eventually(t, testTimeout, "the orphan ends", exited(pid))
	})
}

// Guards against process output that does not reach the file, and against a
// listening report that is parsed before its line is complete.
func TestOutput(t *testing.T) {
	path := t.TempDir() + "/stdout"
	o, err := openOutput(path)
	assert.NilError(t, err)
	for _, part := range []string{"starting\n{\"level\":1}\n{\"liste", "ning\":{\"http\":\"127.0.0.1:7\",", "\"link\":\"127.0.0.1:8\"}}", "\nlast line\n"} {
		_, err := o.Write([]byte(part))
		assert.NilError(t, err)
	}
	assert.Equal(t, <-o.listening, Addresses{HTTP: "127.0.0.1:7", Link: "127.0.0.1:8"})
	assert.NilError(t, o.file.Close())
	assert.Assert(t, cmp.Contains(tail(path), "last line"))
}
