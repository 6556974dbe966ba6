// Package tester starts the system as real processes, with relays between
// them that inject faults. Only tests and the measuring command use it. It
// needs Linux: it reads /proc and ties the life of its processes to its own.
package tester

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/ansel1/merry/v2"
)

// modulePath is the module whose commands are built.
const modulePath = "github.com/quetzalhitch/quetzalhitch"

// Binaries are the programs of the module.
type Binaries struct {
	Entry    string // Path of quetzalhitch.
	Emulator string // Path of emulator.
}

// BuildBinaries builds the commands into folder. It uses the caches of the go
// command, so that unchanged packages are not compiled again. The programs
// have the race detector when the caller has it.
func BuildBinaries(ctx context.Context, folder string) (b Binaries, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "build binaries")
		}
	}()

	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	if raceEnabled {
		arguments = append(arguments, "-race")
	}
	arguments = append(arguments, modulePath+"/cmd/quetzalhitch", modulePath+"/cmd/emulator")
	output, err := exec.CommandContext(ctx, "go", arguments...).CombinedOutput()
	if err != nil {
		return Binaries{}, merry.Appendf(err, "go build: %s", output)
	}
	b = Binaries{
		Entry:    filepath.Join(folder, "quetzalhitch"),
		Emulator: filepath.Join(folder, "emulator"),
	}
	return b, nil
}

// A build is the programs shared by the tests of one package.
type build struct {
	mu       sync.Mutex
	folder   string // Empty outside Main.
	done     bool   // Binaries and Err are set.
	binaries Binaries
	err      error
}

// shared is filled by the first test that needs it and removed by Main.
var shared build

// A testRunner is the part of testing.M that Main uses.
type testRunner interface {
	Run() int
}

// Main runs the tests of a package and removes the programs that they shared.
// It returns the exit code for TestMain.
func Main(m testRunner) int {
	folder, err := os.MkdirTemp("", "quetzalhitch-tester-")
	if err != nil {
		panic(merry.Prepend(err, "make a folder for binaries"))
	}
	shared.mu.Lock()
	shared.folder = folder
	shared.mu.Unlock()

	code := m.Run()
	if err := os.RemoveAll(folder); err != nil {
		panic(merry.Prepend(err, "remove the folder of binaries"))
	}
	return code
}

// SharedBinaries builds the programs once for all tests of a package. The
// package's TestMain has to call Main.
func SharedBinaries(t testing.TB) Binaries {
	t.Helper()
	shared.mu.Lock()
	defer shared.mu.Unlock()

	if shared.folder == "" {
		t.Fatal("tester.SharedBinaries needs a TestMain that calls tester.Main")
	}
	if !shared.done {
		// Not the context of the first test: others wait for the same build.
		shared.binaries, shared.err = BuildBinaries(context.Background(), shared.folder)
		shared.done = true
	}
	if shared.err != nil {
		t.Fatal(shared.err)
	}
	return shared.binaries
}
