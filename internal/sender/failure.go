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

	"github.com/quetzalhitch/quetzalhitch/internal/headreader"
)

// A Cause is the reason why an exchange failed.
type Cause string

// The causes of failures.
const (
	CauseNoFreeConnection Cause = "no-free-connection"
	CauseCancelled        Cause = "cancelled"
	CauseTruncated        Cause = "cut"       // The answer ended without its end marker or declares no length.
	CauseDial             Cause = "dial"      // The connection could not be opened.
	CauseConnectionLost   Cause = "lost"      // The server closed or reset the connection.
	CauseMalformed        Cause = "malformed" // The answer is not valid HTTP.
	CauseTimeout          Cause = "silent"    // No progress within the timeout.
	CauseTooLarge         Cause = "too-large" // The answer exceeds its size limit.
	CauseEvacuated        Cause = "evacuated" // The failure domain of the server is evacuated; nothing was sent.
	CausePeer             Cause = "peer"      // The peer that was to pass the request on failed; this says nothing about the server.
)

// errTruncated means that an answer ended without its end marker, or declares no
// length, so that it may be incomplete.
var errTruncated = merry.Sentinel("answer has no end marker or declared length")

// errMismatchedAnswer means that the server sent only answers to other requests.
var errMismatchedAnswer = merry.Sentinel("answers belong to other requests")

// errTooLarge means that an answer exceeds its size limit.
var errTooLarge = merry.Sentinel("answer exceeds its size limit")

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

// Unwrap returns the error of the connection.
func (f *Failure) Unwrap() error {
	return f.Err
}

// causeOf classifies an error after the connection was opened.
func causeOf(ctx context.Context, err error) Cause {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return CauseCancelled
	case errors.Is(err, errTooLarge), errors.Is(err, headreader.ErrTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return CauseTooLarge
	case errors.Is(err, errTruncated):
		return CauseTruncated
	case errors.As(err, &netErr) && netErr.Timeout():
		return CauseTimeout
	case isConnectionLost(err):
		return CauseConnectionLost
	default:
		return CauseMalformed
	}
}

func isConnectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}
