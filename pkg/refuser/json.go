package refuser

import (
	"encoding/json"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
)

// An envelope is the JSON form of a refusal.
type envelope struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Code              Code    `json:"code"`
	Message           string  `json:"message"`
	Outcome           Outcome `json:"outcome"`
	RetryAfterSeconds int     `json:"retry-after-seconds,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(envelope{Error: errorObject{
		Code:              r.Code,
		Message:           r.Message,
		Outcome:           r.Outcome,
		RetryAfterSeconds: r.RetryAfterSeconds(),
	}})
}

// UnmarshalJSON implements json.Unmarshaler. It derives the status from the
// code.
func (r *Refusal) UnmarshalJSON(data []byte) (err error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return merry.Prepend(err, "decode refusal")
	}
	if e.Error.Code == "" {
		return merry.New("refusal has no code")
	}
	*r = Refusal{
		Code:       e.Error.Code,
		Message:    e.Error.Message,
		Outcome:    e.Error.Outcome,
		Status:     e.Error.Code.Status(),
		RetryAfter: time.Duration(e.Error.RetryAfterSeconds) * time.Second,
	}
	return nil
}

// RetryAfterSeconds returns RetryAfter in seconds, rounded up, for the
// Retry-After header. Zero means that the header is omitted.
func (r *Refusal) RetryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}
