// Command estimate computes the table of docs/CAPACITY.md from the measured
// slopes.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/estimator"
)

type command struct {
	Slopes string `default:"docs/capacity/slopes.ini" type:"path" help:"File with the measured slopes."`
}

// Run prints the table in Markdown.
func (c *command) Run() error {
	data, err := os.ReadFile(c.Slopes)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	slopes, err := estimator.ReadSlopes(c.Slopes, data)
	if err != nil {
		return err
	}
	_, err = fmt.Print(estimator.Markdown(estimator.Estimate(estimator.DefaultPlan(), slopes)))
	return trace.Wrap(err)
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Computes the table of docs/CAPACITY.md from the measured slopes."))
	k.FatalIfErrorf(k.Run())
}
