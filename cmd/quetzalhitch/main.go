// Command quetzalhitch serves online and batch inference on one fleet.
package main

import (
	"os"

	"github.com/quetzalhitch/quetzalhitch/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
