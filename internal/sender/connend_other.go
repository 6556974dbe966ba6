//go:build !linux

package sender

// endedInOrder is not known on this system. Only the end of the data counts.
func (c *conn) endedInOrder() bool { return true }
