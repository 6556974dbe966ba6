package receiver

import (
	"errors"
	"net/http"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A JobReport is the state of a job as callers see it.
type JobReport struct {
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

func newJobReport(m batcher.Manifest) JobReport {
	return JobReport{
		Job: m.Job, State: m.State, Items: m.Items,
		Done: m.Counts.Done, Failed: m.Counts.Failed, Cancelled: m.Counts.Cancelled, Tokens: m.Counts.Tokens,
		AcceptedAt: m.AcceptedAt, Due: m.Due, EndedAt: m.EndedAt,
	}
}

// refusalOf returns the refusal in an error. After any other error it is unknown
// whether the request took effect, so the refusal is refuser.InDoubt.
func (r *Receiver) refusalOf(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r.cfg.Logger.WithError(err).Error("batch job request failed")
	return &refuser.Refusal{
		Code: refuser.InDoubt, Message: "the request failed inside; send it again",
		Outcome: refuser.Unknown, Status: http.StatusInternalServerError, RetryAfter: time.Second,
	}
}
