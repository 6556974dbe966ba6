package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// A point holds the values measured at one size, each from one process or one
// window.
type point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// A regression is a straight line fitted to all values of one metric by least
// squares.
type regression struct {
	Part        string  `json:"part"`
	Metric      string  `json:"figure"`
	Role        string  `json:"role"`
	Per         string  `json:"against"`
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	MaxResidual float64 `json:"spread"` // Largest vertical distance of a value from the line.
	Points      []point `json:"points"`
}

// add adds a value at a size.
func (r *regression) add(size, value float64) {
	for i := range r.Points {
		if r.Points[i].Size == size {
			r.Points[i].Values = append(r.Points[i].Values, value)
			return
		}
	}
	r.Points = append(r.Points, point{Size: size, Values: []float64{value}})
}

// fit computes the line. With a single size, the slope is zero and the intercept
// is the mean.
func (r *regression) fit() {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range r.Points {
		for _, y := range p.Values {
			n++
			sumX += p.Size
			sumY += y
			sumXX += p.Size * p.Size
			sumXY += p.Size * y
		}
	}
	r.Slope, r.Intercept, r.MaxResidual = 0, 0, 0
	if n == 0 {
		return
	}
	if d := n*sumXX - sumX*sumX; d > 0 {
		r.Slope = (n*sumXY - sumX*sumY) / d
	}
	r.Intercept = (sumY - r.Slope*sumX) / n
	for _, p := range r.Points {
		for _, y := range p.Values {
			r.MaxResidual = max(r.MaxResidual, math.Abs(y-r.Intercept-r.Slope*p.Size))
		}
	}
}

// A slopeReport is the result of the slopes command.
type slopeReport struct {
	Regressions []*regression `json:"slopes"`
}

// add adds a value to the regression of a metric.
func (r *slopeReport) add(part, metric, role, per string, size, value float64) {
	for _, s := range r.Regressions {
		if s.Part == part && s.Metric == metric && s.Role == role {
			s.add(size, value)
			return
		}
	}
	s := &regression{Part: part, Metric: metric, Role: role, Per: per}
	s.add(size, value)
	r.Regressions = append(r.Regressions, s)
}

// writeTable fits all lines and prints them with the means at each size.
func (r *slopeReport) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tfigure\trole\tslope\tper\tintercept\tspread\tmeans")
	for _, s := range r.Regressions {
		s.fit()
		fmt.Fprintf(table, "%s\t%s\t%s\t%.5g\t%s\t%.5g\t%.4g\t", s.Part, s.Metric, s.Role, s.Slope, s.Per,
			s.Intercept, s.MaxResidual)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%g:%.4g ", p.Size, mean(p.Values))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func mean(values []float64) (m float64) {
	for _, v := range values {
		m += v / float64(len(values))
	}
	return m
}
