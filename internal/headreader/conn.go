package headreader

import (
	"bufio"
	"net"
)

// maxHeadBytes is the maximum size of the head of a response on a Conn.
const maxHeadBytes = 16 << 10

// A Conn is a client's connection that checks the head of each response. Reads fail if it
// is malformed. The client must send a request whole before it reads the response, and
// read that before it sends the next request.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	expected bool // The next byte begins the head of a response.
}

// NewConn returns a connection that checks the heads of responses.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, reader: bufio.NewReaderSize(c, maxHeadBytes)}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.expected = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.expected {
		if err := Check(c.reader); err != nil {
			return 0, err
		}
		c.expected = false
	}
	return c.reader.Read(p)
}
