package measurer

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

// A Ratio compares the same latency with and without batch work.
type Ratio struct {
	With    float64 `json:"with-ms"`
	Without float64 `json:"without-ms"`
	Ratio   float64 `json:"ratio"`
}

// A BatchImpact is the effect of batch work on the tail latency of online
// requests.
type BatchImpact struct {
	FirstTokenP99  Ratio `json:"first-token-p99"`
	FirstTokenP999 Ratio `json:"first-token-p99.9"`
	CallP99        Ratio `json:"call-p99"`
	CallP999       Ratio `json:"call-p99.9"`
}

// NewBatchImpact compares two runs of one scenario that differ only in batch
// work.
func NewBatchImpact(with, without Result) (impact BatchImpact, err error) {
	if !with.WithBatch || without.WithBatch {
		return BatchImpact{}, merry.New("the comparison needs a run with batch work and one without")
	}
	if with.Scenario != without.Scenario || with.Seed != without.Seed || with.Baseline != without.Baseline ||
		with.Duration != without.Duration {
		return BatchImpact{}, merry.New("the runs differ in more than batch work")
	}
	return BatchImpact{
		FirstTokenP99:  newRatio(with.Online.FirstToken.P99, without.Online.FirstToken.P99),
		FirstTokenP999: newRatio(with.Online.FirstToken.P999, without.Online.FirstToken.P999),
		CallP99:        newRatio(with.Online.Call.P99, without.Online.Call.P99),
		CallP999:       newRatio(with.Online.Call.P999, without.Online.Call.P999),
	}, nil
}

func newRatio(with, without float64) Ratio {
	r := Ratio{With: with, Without: without}
	if without > 0 {
		r.Ratio = with / without
	}
	return r
}

// WriteTable writes the comparison as a table for people.
func (impact BatchImpact) WriteTable(w io.Writer) (err error) {
	fmt.Fprintln(w, "harm of batch work to online requests (ms with, ms without, ratio)")
	for _, row := range []struct {
		name  string
		ratio Ratio
	}{
		{"first token p99", impact.FirstTokenP99},
		{"first token p99.9", impact.FirstTokenP999},
		{"call p99", impact.CallP99},
		{"call p99.9", impact.CallP999},
	} {
		_, err = fmt.Fprintf(w, "%18s %9.1f %9.1f %7.3f\n", row.name, row.ratio.With, row.ratio.Without, row.ratio.Ratio)
	}
	return err
}
