package tester

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
)

// stateStopped is the state of a process after SIGSTOP in /proc/<pid>/stat.
const stateStopped = 'T'

// Columns of /proc/net/tcp and /proc/net/udp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// processState returns the state letter of a process, or zero if it does not
// exist.
func processState(pid int) byte {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name is in parentheses and may contain spaces.
	_, rest, found := bytes.Cut(content[bytes.LastIndexByte(content, ')')+1:], []byte(" "))
	if !found || len(rest) == 0 {
		return 0
	}
	return rest[0]
}

// tcpSocket returns the inode of the TCP socket with the given addresses.
func tcpSocket(local, remote netip.AddrPort) (inode string, err error) {
	return findSocket("/proc/net/tcp", []netip.AddrPort{local}, remote)
}

// udpSocket returns the inode of the UDP socket that sends from an address. An
// unconnected socket may be bound to the unspecified IPv4 or IPv6 address.
func udpSocket(local netip.AddrPort) (inode string, err error) {
	unspecified := netip.AddrPortFrom(netip.IPv4Unspecified(), local.Port())
	inode, err = findSocket("/proc/net/udp", []netip.AddrPort{local, unspecified}, netip.AddrPort{})
	if err == nil {
		return inode, nil
	}
	unspecified = netip.AddrPortFrom(netip.IPv6Unspecified(), local.Port())
	return findSocket("/proc/net/udp6", []netip.AddrPort{unspecified}, netip.AddrPort{})
}

// findSocket returns the inode of a socket with one of the local addresses. An
// invalid remote address matches any.
func findSocket(path string, locals []netip.AddrPort, remote netip.AddrPort) (inode string, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "find the socket from %s to %s", locals[0], remote)
		}
	}()

	file, err := os.Open(path) //nolint:gosec // One of the constants above.
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()

	lines := bufio.NewScanner(file)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnInode {
			continue
		}
		if remote.IsValid() && columns[columnRemote] != procAddress(remote) {
			continue
		}
		for _, local := range locals {
			if columns[columnLocal] == procAddress(local) {
				return columns[columnInode], nil
			}
		}
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	return "", merry.New("socket not found")
}

// procAddress formats an address as /proc/net does: four-byte words in native
// byte order, here little-endian. The only IPv6 address used is the
// unspecified one, for which the order does not matter.
func procAddress(a netip.AddrPort) string {
	if a.Addr() == netip.IPv6Unspecified() {
		return fmt.Sprintf("%032X:%04X", 0, a.Port())
	}
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), a.Port())
}

// ownsSocket reports whether a process has a socket open.
func ownsSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	wanted := "socket:[" + inode + "]"
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil && target == wanted {
			return true
		}
	}
	return false
}
