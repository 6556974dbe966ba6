package commander

import (
	"io"

	"github.com/quetzalhitch/quetzalhitch/platform"
)

// A StorageCmd runs a process on a machine with a disk of the platform.
type StorageCmd struct {
	Settings string `arg:"--settings,env:QUETZALHITCH_CONFIG,required" placeholder:"FILE" help:"settings file of the process (TOML)"`
}

func (c *StorageCmd) run(stdout, _ io.Writer) error {
	return runOnPlatform(c.Settings, stdout, platform.RunStorage)
}
