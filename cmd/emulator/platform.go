package main

// A platformCmd runs the platform: key-value service, leases, watches and instance list.
type platformCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"address to listen on"`
}

func (c *platformCmd) server() server {
	return &placeholder{address: c.Address, kind: "platform"}
}
