package main

import (
	"context"
	"fmt"
	"io"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
)

// A listCmd lists the scenarios and baselines.
type listCmd struct{}

func (*listCmd) run(_ context.Context, stdout io.Writer) (err error) {
	names, err := measurer.Scenarios()
	if err != nil {
		return err
	}
	for _, name := range names {
		fmt.Fprintln(stdout, "scenario", name)
	}
	for _, baseline := range configurer.Baselines() {
		fmt.Fprintln(stdout, "baseline", baseline)
	}
	return nil
}
