package main

import (
	"os"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
)

// A serviceCmd runs a plain service. Options that are not given have the
// defaults of serviceemulator.Config.
type serviceCmd struct {
	Address     string        `arg:"--address"      default:"127.0.0.1:0" help:"address to listen on"`
	AnswerTime  time.Duration `arg:"--answer-time"  help:"duration of each call"`
	JournalSize int           `arg:"--journal-size" help:"number of requests that GET /received returns"`
	Name        string        `arg:"--name"         help:"name of the backend server"`
}

func (c *serviceCmd) server() server {
	s := serviceemulator.New(serviceemulator.Config{
		Name:        c.Name,
		Address:     c.Address,
		AnswerTime:  c.AnswerTime,
		JournalSize: c.JournalSize,
		Exit:        os.Exit,
	})
	return backendServer{emulator: s}
}
