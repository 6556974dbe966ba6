package sender

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/headreader"
)

// chunkedLength is the library's length of a body in chunks.
const chunkedLength = -1

// openBody returns the body of the answer whose head was read; nil if it has none. The
// library does not read bodies, because it accepts malformed trailers.
func (e *exchange) openBody() io.Reader {
	length := e.answer.Header.ContentLength()
	switch {
	case e.hasNoBody():
		return nil
	case length >= 0:
		return &sizedBody{r: e.reader, unread: length}
	case length == chunkedLength:
		return &chunkedBody{r: e.reader, chunks: httputil.NewChunkedReader(e.reader)}
	default: // It ends with the connection.
		return e.reader
	}
}

// hasNoBody reports whether the answer ends with its head, whatever length that declares.
func (e *exchange) hasNoBody() bool {
	switch e.answer.StatusCode() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return true
	default:
		return e.request.Method == fasthttp.MethodHead
	}
}

// A sizedBody is a body with a declared length.
type sizedBody struct {
	r      *bufio.Reader
	unread int // Bytes that are left.
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (n int, err error) {
	if b.unread == 0 {
		return 0, io.EOF
	}
	n, err = b.r.Read(p[:min(len(p), b.unread)])
	b.unread -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// A chunkedBody is a body in chunks, whose trailer is checked and dropped.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader // Decodes r up to the trailer.
	end    error     // The result of the trailer; nil before it was read.
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err = b.chunks.Read(p)
	switch {
	case !errors.Is(err, io.EOF):
		return n, err
	case n > 0:
		return n, nil // The next call waits for the trailer.
	}
	b.end = io.EOF
	if err := headreader.DiscardTrailer(b.r); err != nil {
		b.end = err
	}
	return 0, b.end
}
