// Package sender speaks HTTP to backend servers. It makes no attempt twice, and
// it tells a whole answer from one that was cut.
package sender

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// A Lane is a set of connection pools of its own, so that work of one lane
// never waits for connections or locks of another.
type Lane int

// The lanes.
const (
	LaneOnline  Lane = iota // Online requests to model engines.
	LaneService             // Calls of plain services.
	LaneBatch               // Batch items.
	laneCount
)

const (
	// laneShards is the number of parts of the table of clients of a lane.
	laneShards = 16

	defaultDialTimeout  = time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultIdleTime     = 15 * time.Second
	// defaultMaxConns is far above the requests that one entry has in flight
	// on one server; it bounds file descriptors when a server stalls.
	defaultMaxConns = 1024
	// defaultMaxAnswerBytes bounds the memory for an answer that is read whole.
	defaultMaxAnswerBytes = 8 << 20
	// defaultMaxStreamBytes bounds a stream, which is never held in memory.
	defaultMaxStreamBytes = 64 << 20
	maxHeaderBytes        = 16 << 10
	// maxForeignAnswers bounds the answers to earlier requests that one
	// exchange passes over; a server sends at most one of them.
	maxForeignAnswers = 2
)

// A Config bounds what the sender does. Zero values take the defaults.
type Config struct {
	DialTimeout    time.Duration
	WriteTimeout   time.Duration // For a whole request.
	IdleTime       time.Duration // After which unused connections are closed.
	MaxConns       int           // For each server and lane.
	MaxAnswerBytes int           // Of an answer that is read whole.
	MaxStreamBytes int           // Of a stream.
}

func (c Config) withDefaults() Config {
	c.DialTimeout = orDuration(c.DialTimeout, defaultDialTimeout)
	c.WriteTimeout = orDuration(c.WriteTimeout, defaultWriteTimeout)
	c.IdleTime = orDuration(c.IdleTime, defaultIdleTime)
	c.MaxConns = orInt(c.MaxConns, defaultMaxConns)
	c.MaxAnswerBytes = orInt(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	c.MaxStreamBytes = orInt(c.MaxStreamBytes, defaultMaxStreamBytes)
	return c
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

func orInt(n, otherwise int) int {
	if n <= 0 {
		return otherwise
	}
	return n
}

// A Sender holds the connections to the backend servers.
type Sender struct {
	cfg   Config
	lanes [laneCount]lane
}

type lane struct {
	shards [laneShards]laneShard
}

type laneShard struct {
	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient // By address.
}

// New returns a sender without connections.
func New(cfg Config) *Sender {
	s := &Sender{cfg: cfg.withDefaults()}
	for i := range s.lanes {
		for j := range s.lanes[i].shards {
			s.lanes[i].shards[j].clients = map[string]*fasthttp.HostClient{}
		}
	}
	return s
}

// Close closes all idle connections.
func (s *Sender) Close() {
	for i := range s.lanes {
		for j := range s.lanes[i].shards {
			s.lanes[i].shards[j].forget(nil)
		}
	}
}

// Retain drops the clients of servers that are not among the addresses.
// Running exchanges go on.
func (s *Sender) Retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	for i := range s.lanes {
		for j := range s.lanes[i].shards {
			s.lanes[i].shards[j].forget(keep)
		}
	}
}

func (s *laneShard) forget(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, client := range s.clients {
		if !keep[address] {
			client.CloseIdleConnections()
			delete(s.clients, address)
		}
	}
}

func (s *Sender) client(lane Lane, address string) *fasthttp.HostClient {
	shard := &s.lanes[lane].shards[xxhash.Sum64String(address)%laneShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	client, ok := shard.clients[address]
	if !ok {
		client = s.newClient(address)
		shard.clients[address] = client
	}
	return client
}

// newClient sets up a connection pool. Exchanges take connections from it and
// write and read themselves, so that its own retries never come into play.
func (s *Sender) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      s.dial,
		MaxConns:                  s.cfg.MaxConns,
		MaxIdleConnDuration:       s.cfg.IdleTime,
		MaxIdemponentCallAttempts: 1,
		ReadBufferSize:            maxHeaderBytes,
		ConnPoolStrategy:          fasthttp.LIFO,
	}
}

func (s *Sender) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DialTimeout)
	defer cancel()
	return s.dialContext(ctx, address)
}

func (s *Sender) dialContext(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.cfg.DialTimeout, KeepAliveConfig: keepAlive}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn)}, nil
}
