package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// A point is what was read at one size; each value is from one process or
// one window.
type point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// A slope is a straight line through the readings of one figure, by least
// squares over all values.
type slope struct {
	Part      string  `json:"part"`
	Figure    string  `json:"figure"`
	Role      string  `json:"role"`
	Against   string  `json:"against"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Spread    float64 `json:"spread"` // Largest distance of a value from the line.
	Points    []point `json:"points"`
}

// add adds a value at a size.
func (s *slope) add(size, value float64) {
	for i := range s.Points {
		if s.Points[i].Size == size {
			s.Points[i].Values = append(s.Points[i].Values, value)
			return
		}
	}
	s.Points = append(s.Points, point{Size: size, Values: []float64{value}})
}

// fit sets the line. With one size the slope is zero and the intercept is the
// mean.
func (s *slope) fit() {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		for _, y := range p.Values {
			n++
			sumX += p.Size
			sumY += y
			sumXX += p.Size * p.Size
			sumXY += p.Size * y
		}
	}
	s.Slope, s.Intercept, s.Spread = 0, 0, 0
	if n == 0 {
		return
	}
	if d := n*sumXX - sumX*sumX; d > 0 {
		s.Slope = (n*sumXY - sumX*sumY) / d
	}
	s.Intercept = (sumY - s.Slope*sumX) / n
	for _, p := range s.Points {
		for _, y := range p.Values {
			s.Spread = max(s.Spread, math.Abs(y-s.Intercept-s.Slope*p.Size))
		}
	}
}

// A slopeReport is the result of the command.
type slopeReport struct {
	Slopes []*slope `json:"slopes"`
}

// add adds a value to the slope of a figure.
func (r *slopeReport) add(part, figure, role, against string, size, value float64) {
	for _, s := range r.Slopes {
		if s.Part == part && s.Figure == figure && s.Role == role {
			s.add(size, value)
			return
		}
	}
	s := &slope{Part: part, Figure: figure, Role: role, Against: against}
	s.add(size, value)
	r.Slopes = append(r.Slopes, s)
}

// writeTable fits all lines and prints them with the means at each size.
func (r *slopeReport) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tfigure\trole\tslope\tper\tintercept\tspread\tmeans")
	for _, s := range r.Slopes {
		s.fit()
		fmt.Fprintf(table, "%s\t%s\t%s\t%.5g\t%s\t%.5g\t%.4g\t", s.Part, s.Figure, s.Role, s.Slope, s.Against,
			s.Intercept, s.Spread)
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
