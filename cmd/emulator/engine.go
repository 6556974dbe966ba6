package main

import (
	"context"
	"os"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
)

// An engineCmd runs a model engine. Options that are not given have the defaults
// of engineemulator.Config.
type engineCmd struct {
	Address       string        `arg:"--address"        default:"127.0.0.1:0" help:"address to listen on"`
	CacheBlocks   int           `arg:"--cache-blocks"   help:"number of prompt blocks in the prefix cache"`
	Capacity      int           `arg:"--capacity"       help:"number of concurrent requests that run with little slowdown"`
	Fencing       bool          `arg:"--fencing"        help:"reject orders with an outdated fencing number"`
	JournalSize   int           `arg:"--journal-size"   help:"number of requests that GET /received returns"`
	LoadLag       time.Duration `arg:"--load-lag"       help:"age of the reported load"`
	LoadTime      time.Duration `arg:"--load-time"      help:"time to execute an order to load a model"`
	Models        []string      `arg:"--model,separate" help:"model that is loaded initially; without any, every model is served"`
	Name          string        `arg:"--name"           help:"name of the backend server"`
	NeighbourCost float64       `arg:"--neighbour-cost" help:"fractional increase of the token time for each further concurrent request within the capacity"`
	OverloadCost  float64       `arg:"--overload-cost"  help:"fractional increase of the token time for each concurrent request above the capacity"`
	PrefillTime   time.Duration `arg:"--prefill-time"   help:"time for each prompt token that is not in the cache"`
	TokenTime     time.Duration `arg:"--token-time"     help:"time for each generated token"`
}

func (c *engineCmd) server() server {
	e := engineemulator.New(engineemulator.Config{
		Name:          c.Name,
		Address:       c.Address,
		Models:        c.Models,
		Capacity:      c.Capacity,
		TokenTime:     c.TokenTime,
		NeighbourCost: c.NeighbourCost,
		OverloadCost:  c.OverloadCost,
		PrefillTime:   c.PrefillTime,
		CacheBlocks:   c.CacheBlocks,
		LoadLag:       c.LoadLag,
		LoadTime:      c.LoadTime,
		Fencing:       c.Fencing,
		JournalSize:   c.JournalSize,
		Exit:          os.Exit,
	})
	return backendServer{emulator: e}
}

// A backendEmulator is an emulator of a backend server.
type backendEmulator interface {
	Open() error
	Address() string
	Start(ctx context.Context) <-chan error
}

// A backendServer adapts a backendEmulator to the server interface.
type backendServer struct {
	emulator backendEmulator
}

// Start implements server.
func (s backendServer) Start(ctx context.Context) (address string, done <-chan error, err error) {
	if err = s.emulator.Open(); err != nil {
		return "", nil, err
	}
	return s.emulator.Address(), s.emulator.Start(ctx), nil
}
