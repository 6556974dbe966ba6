package main

import (
	"context"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
)

// A platformCmd runs the platform: key-value service, leases, watches and
// instance list.
type platformCmd struct {
	Address        string `arg:"--address"         default:"127.0.0.1:0" help:"address of the platform API and the control API"`
	ControlAddress string `arg:"--control-address" default:"127.0.0.1:0" help:"second address of the control API, which is reachable during an outage"`
}

func (c *platformCmd) server() server {
	return &platform{cfg: platformemulator.Config{Address: c.Address, ControlAddress: c.ControlAddress}}
}

// A platform adapts platformemulator.Server to the server interface.
type platform struct {
	cfg     platformemulator.Config
	control string
}

// Start implements server.
func (p *platform) Start(ctx context.Context) (address string, done <-chan error, err error) {
	s, err := platformemulator.New(p.cfg)
	if err != nil {
		return "", nil, err
	}
	p.control = s.ControlAddress()
	return s.Address(), s.Start(ctx), nil
}

// ControlAddress implements controlledServer.
func (p *platform) ControlAddress() string { return p.control }
