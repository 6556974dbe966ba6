package commander

import (
	"fmt"
	"io"
	"runtime/debug"
)

// A VersionCmd prints the version of the binary.
type VersionCmd struct{}

func (*VersionCmd) run(stdout, _ io.Writer) (err error) {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err = fmt.Fprintln(stdout, "quetzalhitch", version)
	return err
}
