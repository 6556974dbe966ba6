// Package tester starts the system as real processes, with relays between
// them that inject faults. Only tests and the measure command use it. It
// needs Linux: it reads /proc, and its processes are killed by the kernel when
// the parent ends.
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

const modulePath = "github.com/quetzalhitch/quetzalhitch"

// Binaries are the paths of the built programs.
type Binaries struct {
	Entry    string // Path of quetzalhitch.
	Emulator string // Path of emulator.
}

// BuildBinaries builds the commands into folder. It uses the build cache of
// the go command, so unchanged packages are not compiled again. The programs
// are built with the race detector if the caller is.
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

// A build holds the programs shared by the tests of one package.
type build struct {
	mu       sync.Mutex
	folder   string // Empty outside Main.
	done     bool   // The build was tried; binaries and err are set.
	binaries Binaries
	err      error
}

// sharedBuild is filled by the first test that needs it and removed by Main.
var sharedBuild build

// A testRunner is the part of testing.M that Main uses.
type testRunner interface {
	Run() int
}

// Main runs the tests of a package and removes the programs that they shared.
// It returns the exit code for TestMain.
func Main(m testRunner) int {
	folder, err := os.MkdirTemp("", "quetzalhitch-tester-")
	if err != nil {
		panic(merry.Prepend(err, "create a folder for binaries"))
	}
	sharedBuild.mu.Lock()
	sharedBuild.folder = folder
	sharedBuild.mu.Unlock()

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
	sharedBuild.mu.Lock()
	defer sharedBuild.mu.Unlock()

	if sharedBuild.folder == "" {
		t.Fatal("tester.SharedBinaries needs a TestMain that calls tester.Main")
	}
	if !sharedBuild.done {
		// Not the context of the first test: other tests share the build.
		sharedBuild.binaries, sharedBuild.err = BuildBinaries(context.Background(), sharedBuild.folder)
		sharedBuild.done = true
	}
	if sharedBuild.err != nil {
		t.Fatal(sharedBuild.err)
	}
	return sharedBuild.binaries
}
