package commander

import (
	"io"

	"github.com/quetzalhitch/quetzalhitch/platform"
)

// A ServeCmd runs an instance on the platform.
type ServeCmd struct {
	Settings string `arg:"--settings,env:QUETZALHITCH_CONFIG,required" placeholder:"FILE" help:"settings file of the process (TOML)"`
}

func (c *ServeCmd) run(stdout, _ io.Writer) error {
	return runOnPlatform(c.Settings, stdout, platform.RunEntry)
}
