package intaker

import (
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// callerShare is the part of a process's descriptors for callers. The rest is for
	// connections to servers and the store, links and files.
	callerShare = 0.6
	// connsPerMB bounds callers' connections by memory: one that is receiving a head
	// holds about 40 KB (the read buffer, the stack of its goroutine, the request).
	connsPerMB = 6
	minConns   = 16
	// ProbeConns is the maximum number of connections of an address for probes and
	// metrics.
	ProbeConns = 64
	// maxProbeBodyBytes and the further limits are for requests to such an address,
	// which need no body.
	maxProbeBodyBytes = 1 << 10
	probeTimeout      = 5 * time.Second
	probeIdleTimeout  = 90 * time.Second
	probeHeadBytes    = 8 << 10
)

// CallerConns returns how many connections callers may have to a process with the given
// memory and number of descriptors. The number of descriptors is that of the operating
// system if it is 0.
func CallerConns(memoryMB, descriptors int) int {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && (descriptors <= 0 || uint64(descriptors) > system.Cur) {
		descriptors = int(min(system.Cur, 1<<20))
	}
	return max(minConns, min(int(callerShare*float64(descriptors)), memoryMB*connsPerMB))
}

// HardenProbes sets the limits of a server for probes and metrics.
func HardenProbes(s *fasthttp.Server) {
	s.ReadTimeout = probeTimeout
	s.IdleTimeout = probeIdleTimeout
	s.MaxRequestBodySize = maxProbeBodyBytes
	s.ReadBufferSize = probeHeadBytes
	s.ReduceMemoryUsage = true
	s.SecureErrorLogMessage = true
}
