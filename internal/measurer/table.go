package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the result as tables for people.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, %s, seed %d, %s\n", r.Scenario, r.variant(), r.Seed, time.Duration(r.Duration))
	fmt.Fprintln(t, "latency in ms\tcount\tp50\tp95\tp99\tp99.9\tmax\t")
	writePercentiles(t, "first token", r.Online.FirstToken)
	writePercentiles(t, "whole chat", r.Online.WholeChat)
	writePercentiles(t, "call", r.Online.Call)
	writePercentiles(t, "send lag of the tool", r.Tool.SendLag)
	fmt.Fprintln(t, "\nworkspace\tasked\tinside\tanswered\trefused\trefused inside\texcess\tfailed\tof fair\tof asked\t")
	for _, x := range r.Workspaces {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t\n", x.Name, x.Sent, x.SentWithinRate,
			x.Answered, x.Refused, x.RefusedWithinRate, x.Excess, x.Failed, x.FairShare, x.AnsweredShare)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeMeasures(w)
}

// variant describes the batch mode and the baseline of the run.
func (r Result) variant() string {
	variant := "without batch"
	if r.WithBatch {
		variant = "with batch"
	}
	if r.Baseline != "" {
		variant += ", baseline " + string(r.Baseline)
	}
	return variant
}

func (r Result) writeMeasures(w io.Writer) (err error) {
	if b := r.Batch; b != nil {
		fmt.Fprintf(w, "batch: %.1f items/s, %.0f tokens/s (%d items, %d failed, %d duplicates)\n",
			b.ItemsPerSecond, b.TokensPerSecond, b.Items, b.Failed, b.Duplicates)
		fmt.Fprintf(w, "batch as the entries count: %.1f items/s (%d items), %d yielded\n", b.SucceededPerSecond, b.Succeeded, b.Yielded)
		if b.Exhausted {
			fmt.Fprintln(w, "batch: the backlog ended before the measurement; the rates are too low")
		}
	}
	fmt.Fprintf(w, "worst-served workspace: %s with %.3f of its fair part, %.3f of the mean\n",
		r.Fairness.WorstWorkspace, r.Fairness.WorstFairShare, r.Fairness.WorstToMean)
	fmt.Fprintf(w, "refused inside the rate: %d of %d, %.3f in 100\n",
		r.Refusals.RefusedWithinRate, r.Refusals.SentWithinRate, r.Refusals.Percent)
	fmt.Fprintf(w, "answered fewer than inside the rate: %d of %d\n", r.Refusals.Shortfall, r.Refusals.SentWithinRate)
	if r.Tool.Unsent > 0 {
		fmt.Fprintf(w, "VOID: the load tool did not send %d requests\n", r.Tool.Unsent)
	}
	_, err = fmt.Fprintln(w)
	return err
}

func writePercentiles(w io.Writer, name string, p Percentiles) {
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, p.Count, p.P50, p.P95, p.P99, p.P999, p.Max)
}
