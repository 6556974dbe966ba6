package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// A Cause says why an exchange failed.
type Cause string

// The causes of failures.
const (
	CauseBusy      Cause = "no-free-connection"
	CauseCancelled Cause = "cancelled"
	CauseCut       Cause = "cut"       // The answer ended without its end mark.
	CauseDial      Cause = "dial"      // No connection could be made.
	CauseLost      Cause = "lost"      // The far end closed or reset the connection.
	CauseMalformed Cause = "malformed" // The answer is not HTTP.
	CauseSilent    Cause = "silent"    // No progress before the deadline.
	CauseTooLarge  Cause = "too-large" // The answer exceeds its bound.
)

// errNoEnd means that an answer came without declared length.
var errNoEnd = merry.Sentinel("the answer declares no end")

// errForeign means that answers to other requests came in place of this one's.
var errForeign = merry.Sentinel("the answers belong to other requests")

// errTooLarge means that an answer exceeds its bound.
var errTooLarge = merry.Sentinel("the answer exceeds its bound")

// A Failure is a failed exchange.
type Failure struct {
	Cause      Cause
	Dispatched bool // Bytes of the request may have reached the server.
	Reused     bool // The connection had carried an exchange before.
	Err        error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (dispatched %t, reused %t): %v", f.Cause, f.Dispatched, f.Reused, f.Err)
}

// Unwrap gives the error of the connection.
func (f *Failure) Unwrap() error {
	return f.Err
}

// causeOf classifies an error of a connection in use.
func causeOf(ctx context.Context, err error) Cause {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return CauseCancelled
	case errors.Is(err, errTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return CauseTooLarge
	case errors.Is(err, errNoEnd):
		return CauseCut
	case errors.As(err, &netErr) && netErr.Timeout():
		return CauseSilent
	case isLost(err):
		return CauseLost
	default:
		return CauseMalformed
	}
}

func isLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}
