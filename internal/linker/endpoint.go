package linker

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// Timeouts and intervals of a link.
const (
	// A connection on which nothing arrives for idleTimeout after a packet was sent
	// is closed, so a call on a dead connection blocks for at most this time.
	idleTimeout = time.Second
	// keepAlivePeriod leaves two keepalive packets within idleTimeout.
	keepAlivePeriod = 450 * time.Millisecond
	// dialTimeout bounds a dial and its handshake.
	dialTimeout = time.Second
	// connectTimeout bounds the wait of a request that is answered in parts for a
	// connection, since another peer may take it.
	connectTimeout = 300 * time.Millisecond
	// callTimeout bounds each call, and on the receiving side the time to read a
	// request and to write its answer.
	callTimeout = 10 * time.Second
	// The delay after a failed dial doubles from minBackoff to maxBackoff.
	// maxBackoff also bounds how long a healed partition goes unnoticed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Limits of a connection.
const (
	maxStreams           = 512 // Calls in flight from one peer.
	maxStreamWindow      = MaxMessageBytes + 64<<10
	maxConnectionWindow  = 2 * maxStreamWindow
	initialReceiveWindow = 64 << 10 // Small, as most messages are below 1 KiB and there may be 350 peers.
)

// A Clock tells the time and starts timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// A Config holds the parameters of a Linker.
type Config struct {
	InstanceID    string      // Must be the name in the certificate.
	ListenAddress string      // UDP host and port; with port 0 the operating system chooses one.
	TLS           *tls.Config // From KeyFiles.Load or Credentials.TLS.
	Clock         Clock
	Logger        logrus.FieldLogger
	Meter         metric.Meter // Nil disables metrics.
}

// A Linker manages this instance's links to all peers.
type Linker struct {
	cfg         Config
	instruments *instruments
	serverTLS   *tls.Config
	transport   *quic.Transport
	handlers    map[Kind]Handler // Not changed after Start.
	// streamHandlers are those of kinds that are answered in parts; not changed after
	// Start.
	streamHandlers map[Kind]StreamHandler
	nextID         atomic.Uint64

	// ctx is cancelled when the Linker stops, which ends all connections and
	// dials.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.RWMutex
	links map[string]*link // By instance ID.

	// spawnMu is separate from mu because a link starts its dial while it holds
	// its own lock, which is taken after mu elsewhere.
	spawnMu sync.Mutex
	stopped bool // No further goroutine is started.
	group   conc.WaitGroup
}

// New binds the listen address. Start must be called to serve it; the address
// is released when Start's context ends.
func New(cfg Config) (l *Linker, err error) {
	defer func() { err = merry.Prepend(err, "create linker") }()

	if err := checkOwnIdentity(cfg); err != nil {
		return nil, err
	}
	counters, err := newInstruments(cfg.Meter)
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", cfg.ListenAddress)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Linker{
		cfg:         cfg,
		instruments: counters,
		serverTLS:   serverTLS(cfg.TLS),
		transport:   &quic.Transport{Conn: socket},
		handlers:    make(map[Kind]Handler),

		streamHandlers: make(map[Kind]StreamHandler),
		ctx:            ctx,
		stop:           stop,
		links:          make(map[string]*link),
	}, nil
}

// checkOwnIdentity rejects a certificate of another instance, which every peer
// would reject later.
func checkOwnIdentity(cfg Config) error {
	if cfg.TLS == nil || len(cfg.TLS.Certificates) == 0 || cfg.TLS.RootCAs == nil {
		return merry.Prepend(ErrIdentity, "a certificate and an authority are required")
	}
	leaf := cfg.TLS.Certificates[0].Leaf
	if leaf == nil {
		return merry.Prepend(ErrIdentity, "certificate has not been parsed")
	}
	instance, err := identityOf(leaf)
	if err != nil {
		return err
	}
	if instance != cfg.InstanceID {
		return merry.Prependf(ErrIdentity, "certificate names %q but this instance is %q", instance, cfg.InstanceID)
	}
	return nil
}

// Address returns the bound UDP address.
func (l *Linker) Address() string {
	return l.transport.Conn.LocalAddr().String()
}

// Handle registers the handler of a kind. It must be called before Start.
func (l *Linker) Handle(kind Kind, h Handler) {
	l.handlers[kind] = h
}

// SetPeers replaces the set of instances that can be called. Links to peers
// that stay at their address are kept.
func (l *Linker) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*link, len(peers))
	for _, peer := range peers {
		if peer.ID == l.cfg.InstanceID {
			continue
		}
		next[peer.ID] = l.linkTo(peer)
	}
	for id, old := range l.links {
		if next[id] != old {
			old.close()
		}
	}
	l.links = next
}

// linkTo returns the existing link to a peer, or a new one if there is none or
// the peer's address has changed. The caller holds mu.
func (l *Linker) linkTo(peer Peer) *link {
	old, ok := l.links[peer.ID]
	if !ok || old.peer.Address != peer.Address {
		return newLink(l, peer)
	}
	old.setPeer(peer)
	return old
}

// Peers returns the instances that can be called, sorted by ID.
func (l *Linker) Peers() []Peer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	peers := make([]Peer, 0, len(l.links))
	for _, k := range l.links {
		peers = append(peers, k.peerCopy())
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return peers
}

// Links returns the state of all links, sorted by remote instance.
func (l *Linker) Links() []registrar.Link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	states := make([]registrar.Link, 0, len(l.links))
	for _, k := range l.links {
		states = append(states, k.snapshot())
	}
	slices.SortFunc(states, func(a, b registrar.Link) int { return strings.Compare(a.Remote, b.Remote) })
	return states
}

// Call sends a request to a peer and decodes the answer into response, which
// may be nil. The error is ErrUnreachable or ErrTooLarge when the request was
// not sent, ErrRemote when the peer answered with an error, and
// ErrUnknownEffect when the request may have been sent but no answer arrived.
func (l *Linker) Call(ctx context.Context, peer string, kind Kind, request, response any) (err error) {
	defer func() { err = merry.Prependf(err, "%s to %s", kind, peer) }()

	payload, err := Marshal(request)
	if err != nil {
		return err
	}
	l.mu.RLock()
	k, ok := l.links[peer]
	l.mu.RUnlock()
	if !ok {
		return merry.Prepend(ErrUnreachable, "unknown peer")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := k.exchange(ctx, Envelope{
		Version: ProtocolVersion,
		Kind:    kind,
		ID:      l.nextID.Add(1),
		Sender:  l.cfg.InstanceID,
		Payload: payload,
	})
	if err != nil {
		return err
	}
	if answer.Error != "" {
		return merry.Prepend(ErrRemote, answer.Error)
	}
	if response == nil {
		return nil
	}
	return Unmarshal(answer.Payload, response)
}

// Start serves the links until ctx ends.
func (l *Linker) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := l.transport.Listen(l.serverTLS, quicConfig())
	if err != nil {
		l.close()
		done <- merry.Prepend(err, "listen for links")
		return done
	}
	context.AfterFunc(ctx, l.stop)
	go func() {
		err := l.accept(listener)
		l.close()
		done <- err
	}()
	return done
}

// close closes all connections and waits for their goroutines.
func (l *Linker) close() {
	l.spawnMu.Lock()
	l.stopped = true
	l.spawnMu.Unlock()
	l.mu.RLock()
	for _, k := range l.links {
		k.close()
	}
	l.mu.RUnlock()
	l.stop()
	_ = l.transport.Close()
	l.group.Wait()
	_ = l.transport.Conn.Close()
}

// spawn runs f in a goroutine that close waits for. It returns false, without
// running f, when the Linker is stopping.
func (l *Linker) spawn(f func()) bool {
	l.spawnMu.Lock()
	defer l.spawnMu.Unlock()
	if l.stopped {
		return false
	}
	l.group.Go(f)
	return true
}

// quicConfig returns the QUIC configuration of both ends of a connection.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     initialReceiveWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: 2 * initialReceiveWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}
