package commander

import (
	"io"

	"github.com/quetzalhitch/quetzalhitch/platform"
)

// A StorageCmd runs the storage role on the platform, on a host with a disk.
type StorageCmd struct {
	Settings string `arg:"--settings,env:QUETZALHITCH_CONFIG,required" placeholder:"FILE" help:"settings file of the process (TOML)"`
}

func (c *StorageCmd) run(stdout, _ io.Writer) error {
	return runOnPlatform(c.Settings, stdout, platform.RunStorage)
}
