package main

// An engineCmd runs a model engine.
type engineCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"address to listen on"`
}

func (c *engineCmd) server() server {
	return &placeholder{address: c.Address, kind: "engine"}
}
