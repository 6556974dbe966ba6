package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
)

// A compareCmd compares the results of one scenario with and without batch work.
type compareCmd struct {
	With    string `arg:"positional,required" help:"file of the result with batch work"`
	Without string `arg:"positional,required" help:"file of the result without batch work"`
}

func (c *compareCmd) run(_ context.Context, stdout io.Writer) (err error) {
	with, err := readResult(c.With)
	if err != nil {
		return err
	}
	without, err := readResult(c.Without)
	if err != nil {
		return err
	}
	impact, err := measurer.NewBatchImpact(with, without)
	if err != nil {
		return err
	}
	return impact.WriteTable(stdout)
}

func readResult(file string) (r measurer.Result, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "read result %s", file)
		}
	}()

	content, err := os.ReadFile(file)
	if err != nil {
		return measurer.Result{}, err
	}
	return r, json.Unmarshal(content, &r)
}
