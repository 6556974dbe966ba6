package sender

import "golang.org/x/sys/unix"

// stateCloseWait is the state of a connection whose other side has ended it in order. After
// a reset it is closed instead, also if the end in order was read before.
const stateCloseWait = 8

// endedInOrder reports, after the end of the data was read, whether the machine of the
// server has acknowledged the whole request, and the connection was not reset. Bytes that
// were written without an error may still wait here, or be lost with the connection.
func (c *conn) endedInOrder() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err == nil && infoErr == nil && info.State == stateCloseWait && info.Unacked == 0 && info.Notsent_bytes == 0
}
