package main

import (
	"context"
	"os"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
)

// An engineCmd runs a model engine. Options that are not given take the
// defaults of the stand-in.
type engineCmd struct {
	Address       string        `arg:"--address"        default:"127.0.0.1:0" help:"address to listen on"`
	CacheBlocks   int           `arg:"--cache-blocks"   help:"blocks of prompt in the prefix cache"`
	Capacity      int           `arg:"--capacity"       help:"requests that run side by side with little harm"`
	Fencing       bool          `arg:"--fencing"        help:"refuse orders with an old fencing number"`
	JournalSize   int           `arg:"--journal-size"   help:"requests that GET /received keeps"`
	LoadLag       time.Duration `arg:"--load-lag"       help:"age of the reported load"`
	LoadTime      time.Duration `arg:"--load-time"      help:"time that an order to load a model takes"`
	Models        []string      `arg:"--model,separate" help:"model that is loaded at the start; none answers for any model"`
	Name          string        `arg:"--name"           help:"name of the backend server"`
	NeighbourCost float64       `arg:"--neighbour-cost" help:"growth of the token time for each neighbour within the capacity"`
	OverloadCost  float64       `arg:"--overload-cost"  help:"growth of the token time for each request above the capacity"`
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
	return hosted{host: e}
}

// A host is a stand-in of a backend server.
type host interface {
	Open() error
	Address() string
	Start(ctx context.Context) <-chan error
}

// A hosted is the stand-in of a backend server as a server.
type hosted struct {
	host host
}

// Start implements server.
func (h hosted) Start(ctx context.Context) (address string, done <-chan error, err error) {
	if err = h.host.Open(); err != nil {
		return "", nil, err
	}
	return h.host.Address(), h.host.Start(ctx), nil
}
