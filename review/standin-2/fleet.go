package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, started: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Settings of a small deployment, from the pages of lh-order-desk.
const (
	graceS      = 8
	statusS     = 120
	memoryMB    = 284
	maxFDs      = 4100
	configApply = 2 * time.Second
	settle      = time.Second
	cancelAfter = 3 * time.Second
	stable      = 3 * time.Second
	finish      = 18 * time.Second
)

// A front is an entry instance, run with the command of the deploy file.
type front struct {
	name, zone, ip string
	addr           string // For callers.
	ready          string
	settings       string
	log            *os.File
	fleet          *fleet

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// A fleet is a store, engines and fronts.
type fleet struct {
	rec     *recorder
	folder  string
	root    string // Of the repository.
	store   *store
	fronts  []*front
	engines []*engine
	version int64
	// status is how long results are kept, in seconds.
	status int

	closing sync.Once
}

func newFleet(rec *recorder, root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore(rec)
	return &fleet{rec: rec, folder: folder, root: root, store: s, status: statusS}, err
}

func freePort(ip, network string) (port int, err error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", ip+":0")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).Port, nil
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addFront starts a front in a zone, with the number that ends its name.
func (f *fleet) addFront(zone string, number int) (*front, error) {
	fr := &front{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.1.%d", len(f.fronts)+1), fleet: f}
	var ports [3]int
	for i := range ports {
		port, err := freePort(fr.ip, "tcp")
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	link, err := freePort(fr.ip, "udp")
	if err != nil {
		return nil, err
	}
	fr.addr, fr.ready = fmt.Sprintf("%s:%d", fr.ip, ports[0]), fmt.Sprintf("%s:%d", fr.ip, ports[1])
	settings := fmt.Sprintf(`instance = "%s"
address = "%s"
failure-domain = "%s"
front-address = "%s"
metrics-address = "%s:%d"
ready-address = "%s"
first-link-port = %d
store-address = "%s"
memory-mb = %d
max-fds = %d
grace-s = %d
status-s = %d
contracts = "base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform"
`, fr.name, fr.ip, zone, fr.addr, fr.ip, ports[2], fr.ready, link, f.store.addr, memoryMB, maxFDs, graceS, f.status)
	fr.settings = filepath.Join(f.folder, fr.name+".toml")
	if err := os.WriteFile(fr.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if fr.log, err = os.Create(filepath.Join(f.folder, fr.name+".log")); err != nil {
		return nil, err
	}
	f.fronts = append(f.fronts, fr)
	return fr, fr.start()
}

func (fr *front) start() error {
	cmd := exec.Command("target/quetzalhitch", "serve")
	cmd.Dir = fr.fleet.root
	cmd.Env = append(os.Environ(), "QUETZALHITCH_CONFIG="+fr.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	cmd.Stdout, cmd.Stderr = fr.log, fr.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	fr.mu.Lock()
	fr.cmd, fr.ended = cmd, ended
	fr.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		fr.fleet.rec.printf("%s ends: %v", fr.name, cmd.ProcessState)
		close(ended)
	}()
	fr.fleet.rec.printf("%s starts at %s", fr.name, fr.addr)
	return nil
}

func (fr *front) signal(s syscall.Signal) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.fleet.rec.printf("%s gets %v", fr.name, s)
	_ = fr.cmd.Process.Signal(s)
}

// waitReady waits until all fronts are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, fr := range f.fronts {
		for {
			resp, err := http.Get("http://" + fr.ready + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", fr.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.printf("all fronts are ready")
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.closing.Do(f.end)
}

func (f *fleet) end() {
	for _, fr := range f.fronts {
		fr.mu.Lock()
		cmd, ended := fr.cmd, fr.ended
		fr.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	for _, e := range f.engines {
		e.stop()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// configure writes the next version of the operator's configuration.
func (f *fleet) configure(routes []map[string]any, tenants []map[string]any) {
	f.version += 3
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		name := r["service"].(string)
		if !services[name] {
			services[name] = true
			list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 230, "protocol": "h1", "tls": false})
		}
	}
	rev := f.store.set("op/config", map[string]any{
		"version": f.version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.rec.printf("configuration version %d acknowledged at revision %d", f.version, rev)
}
