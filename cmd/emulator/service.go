package main

// A serviceCmd runs a plain service.
type serviceCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"address to listen on"`
}

func (c *serviceCmd) server() server {
	return &placeholder{address: c.Address, kind: "service"}
}
