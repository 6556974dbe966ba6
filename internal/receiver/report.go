package receiver

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A Report is the state of a job as callers see it.
type Report struct {
	Job        string        `json:"job"`
	State      batcher.State `json:"state"`
	Items      int           `json:"items"`
	Done       int           `json:"done"`
	Failed     int           `json:"failed"`
	Cancelled  int           `json:"cancelled"`
	Tokens     int64         `json:"tokens"`
	AcceptedAt time.Time     `json:"accepted-at"`
	Due        time.Time     `json:"due"`
	EndedAt    time.Time     `json:"ended-at,omitzero"`
}

func reportOf(m batcher.Manifest) Report {
	return Report{
		Job: m.Job, State: m.State, Items: m.Items,
		Done: m.Counts.Done, Failed: m.Counts.Failed, Cancelled: m.Counts.Cancelled, Tokens: m.Counts.Tokens,
		AcceptedAt: m.AcceptedAt, Due: m.Due, EndedAt: m.EndedAt,
	}
}

// A RefusalBody is the JSON of a refusal.
type RefusalBody struct {
	Error RefusalFields `json:"error"`
}

// RefusalFields are the fields of a refusal.
type RefusalFields struct {
	Code              refuser.Code    `json:"code"`
	Message           string          `json:"message"`
	Outcome           refuser.Outcome `json:"outcome"`
	RetryAfterSeconds int             `json:"retry-after-seconds,omitempty"`
}

func sendRefusal(c fiber.Ctx, refusal *refuser.Refusal) error {
	seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
	if seconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.Status(refusal.Status).JSON(RefusalBody{Error: RefusalFields{
		Code: refusal.Code, Message: refusal.Message, Outcome: refusal.Outcome, RetryAfterSeconds: seconds,
	}})
}

// refusalOf returns the refusal in an error. Of any other error nothing is
// known, so the caller is told that it is in doubt.
func (r *Receiver) refusalOf(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r.cfg.Logger.WithError(err).Error("a batch request failed")
	return &refuser.Refusal{
		Code: refuser.InDoubt, Message: "the request failed inside; send it again",
		Outcome: refuser.Unknown, Status: http.StatusInternalServerError, RetryAfter: time.Second,
	}
}
