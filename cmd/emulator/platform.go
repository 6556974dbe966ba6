package main

import (
	"context"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
)

// A platformCmd runs the platform: key-value service, leases, watches and
// instance list.
type platformCmd struct {
	Address        string `arg:"--address"         default:"127.0.0.1:0" help:"address of the protocol and of the controls"`
	ControlAddress string `arg:"--control-address" default:"127.0.0.1:0" help:"second address of the controls, which no outage closes"`
}

func (c *platformCmd) server() server {
	return &platform{cfg: platformemulator.Config{Address: c.Address, ControlAddress: c.ControlAddress}}
}

// A platform is the platform's stand-in as a server.
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

// ControlAddress implements controlled.
func (p *platform) ControlAddress() string { return p.control }
