// Package sender sends HTTP requests to backend servers. It never retries, and it
// detects truncated answers.
package sender

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// A TrafficClass has its own connection pools, so that requests of one class never
// wait for connections or locks of another.
type TrafficClass int

// The traffic classes.
const (
	TrafficOnline  TrafficClass = iota // Online requests to model engines.
	TrafficService                     // Requests to plain services.
	TrafficBatch                       // Batch items.
	trafficClassCount
)

const (
	clientShards = 16 // Per traffic class.

	defaultDialTimeout  = time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultIdleTime     = 15 * time.Second
	// defaultMaxConns is far above the requests that one entry has in flight on
	// one server. It bounds the open file descriptors when a server stalls.
	defaultMaxConns = 1024
	// defaultMaxAnswerBytes bounds an answer that is held in memory.
	defaultMaxAnswerBytes = 8 << 20
	// defaultMaxStreamBytes bounds a stream, which is never held in memory.
	defaultMaxStreamBytes = 64 << 20
	maxHeaderBytes        = 16 << 10
	// encodingBytes are the bytes of an answer beside its content: sizes of chunks,
	// their extensions and trailers.
	encodingBytes = 64 << 10
	// maxMismatchedAnswers bounds the answers to earlier requests that one
	// exchange skips. A server sends at most one of them.
	maxMismatchedAnswers = 2
)

// A Config holds the limits of a sender. Zero values select the defaults.
type Config struct {
	DialTimeout    time.Duration
	WriteTimeout   time.Duration // For a whole request.
	IdleTime       time.Duration // After which unused connections are closed.
	MaxConns       int           // Per server and traffic class.
	MaxAnswerBytes int           // Limit for a non-streaming answer.
	MaxStreamBytes int           // Limit for a stream.
	MaxHeldBytes   int           // Limit for what all unfinished answers hold, beyond a small part of each.
	Dialer         Dialer        // Nil means TCP with keep-alives and DialTimeout.
	// Dialed is called after each attempt to open a connection for a pool; nil for never.
	Dialed func(address string, err error)
}

// A Dialer opens TCP connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	c.DialTimeout = durationOr(c.DialTimeout, defaultDialTimeout)
	c.WriteTimeout = durationOr(c.WriteTimeout, defaultWriteTimeout)
	c.IdleTime = durationOr(c.IdleTime, defaultIdleTime)
	c.MaxConns = intOr(c.MaxConns, defaultMaxConns)
	c.MaxAnswerBytes = intOr(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	c.MaxStreamBytes = intOr(c.MaxStreamBytes, defaultMaxStreamBytes)
	c.MaxHeldBytes = intOr(c.MaxHeldBytes, defaultMaxHeldBytes)
	if c.Dialer == nil {
		c.Dialer = &net.Dialer{Timeout: c.DialTimeout, KeepAliveConfig: keepAlive}
	}
	return c
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func intOr(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}

// A Sender sends requests to backend servers and pools its connections to them.
type Sender struct {
	cfg     Config
	clients [trafficClassCount]clientTable
	held    budget // Of all unfinished answers.
}

type clientTable struct {
	shards [clientShards]clientShard
}

type clientShard struct {
	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient // By address.
}

// New returns a sender without connections.
func New(cfg Config) *Sender {
	s := &Sender{cfg: cfg.withDefaults()}
	s.held.limit = int64(s.cfg.MaxHeldBytes)
	for i := range s.clients {
		for j := range s.clients[i].shards {
			s.clients[i].shards[j].clients = map[string]*fasthttp.HostClient{}
		}
	}
	return s
}

// Close closes all idle connections.
func (s *Sender) Close() {
	for i := range s.clients {
		for j := range s.clients[i].shards {
			s.clients[i].shards[j].closeExcept(nil)
		}
	}
}

// Retain closes the idle connections to servers that are not among the addresses.
// Running exchanges continue.
func (s *Sender) Retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	for i := range s.clients {
		for j := range s.clients[i].shards {
			s.clients[i].shards[j].closeExcept(keep)
		}
	}
}

func (s *clientShard) closeExcept(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, client := range s.clients {
		if !keep[address] {
			client.CloseIdleConnections()
			delete(s.clients, address)
		}
	}
}

func (s *Sender) client(class TrafficClass, address string) *fasthttp.HostClient {
	shard := &s.clients[class].shards[xxhash.Sum64String(address)%clientShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	client, ok := shard.clients[address]
	if !ok {
		client = s.newClient(address)
		shard.clients[address] = client
	}
	return client
}

// newClient returns a client that is used only as a connection pool. Exchanges
// write and read the connections themselves, which avoids the client's retries.
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
	c, err := s.dialContext(ctx, address)
	if s.cfg.Dialed != nil {
		s.cfg.Dialed(address, err)
	}
	return c, err
}

func (s *Sender) dialContext(ctx context.Context, address string) (net.Conn, error) {
	c, err := s.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn)}, nil
}
