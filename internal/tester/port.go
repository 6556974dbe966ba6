package tester

import (
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// loopback is the address that every process listens on.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// A ReservedPort is a TCP port on the loopback address that other processes
// cannot take while nothing listens on it. A socket that is bound and does not
// listen holds the port; listeners with SO_REUSEADDR, which Go sets, can be
// opened and closed meanwhile. Without a listener, connections are refused.
// Without the reservation, the operating system could assign the port to
// another socket while a listener is closed and opened again.
type ReservedPort struct {
	Address string

	descriptor int
	release    sync.Once
}

// ReservePort lets the operating system choose a port and reserves it.
func ReservePort() (p *ReservedPort, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "reserve a port")
		}
	}()

	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p = &ReservedPort{descriptor: descriptor}
	defer func() {
		if err != nil {
			p.Release()
		}
	}()
	if err = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err = syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		return nil, err
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return nil, merry.Errorf("unexpected socket address %T", name)
	}
	p.Address = netip.AddrPortFrom(loopback, uint16(bound.Port)).String() //nolint:gosec // A port.
	return p, nil
}

// Release gives the port back to the operating system.
func (p *ReservedPort) Release() {
	p.release.Do(func() { _ = syscall.Close(p.descriptor) })
}

const (
	// execTimeout bounds the wait for child processes to call exec.
	execTimeout = 5 * time.Second
	// listenRetryInterval is the interval of attempts on a port in use.
	listenRetryInterval = time.Millisecond
)

// listenWithRetry opens a listener on a reserved port that had one before, and
// retries while the port is in use. A child process between fork and exec
// still holds the former listener: the kernel lets the parent continue before
// it closes the child's descriptors.
func listenWithRetry(listen func() error) (err error) {
	ticker := time.NewTicker(listenRetryInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(execTimeout); ; <-ticker.C {
		err = listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}
