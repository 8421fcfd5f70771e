// Command experiment compares the overload control layer with baseline layers in
// virtual time and prints a table for each case.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/experimenter"
)

type options struct {
	Scenario        string        `help:"Scenario to run; all by default."`
	Deployment      string        `help:"Deployment to run; both by default." enum:",van-dalen,jnina" default:""`
	Case            string        `help:"Run only the cases whose name contains this text."`
	Layer           string        `help:"Run only the layers whose name contains this text."`
	TriggerDuration time.Duration `name:"on" help:"Duration of the trigger, which is the surge or fault of a case. Cold-start cases use a duration of their own." default:"5s"`
	Seed            uint64        `help:"Seed of the demand." default:"1"`
}

func main() {
	var o options
	parser := kong.Parse(&o, kong.Name("experiment"), kong.Description("Compares the overload control layer with baseline layers in virtual time."))
	parser.FatalIfErrorf(o.run())
}

func (o options) run() error {
	ran := false
	var saturations experimenter.Saturations
	for _, d := range experimenter.Deployments() {
		if o.Deployment != "" && o.Deployment != d.Name {
			continue
		}
		for _, s := range experimenter.Scenarios() {
			if o.Scenario != "" && o.Scenario != s.Name {
				continue
			}
			ran = true
			if err := o.runCases(s.Cases(d, o.TriggerDuration), &saturations); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	if !ran {
		return trace.NotFound("no scenario is named %q", o.Scenario)
	}
	return nil
}

func (o options) runCases(cases []experimenter.Case, saturations *experimenter.Saturations) error {
	for _, c := range cases {
		if !strings.Contains(c.Name, o.Case) {
			continue
		}
		c.Config.Seed = o.Seed
		saturation := saturations.Prepare(&c)
		var reports []experimenter.Report
		for _, layer := range experimenter.Layers() {
			if strings.Contains(layer.Name, o.Layer) {
				c.Config.Layer = layer
				reports = append(reports, experimenter.Run(c.Config))
			}
		}
		if err := experimenter.WriteTable(os.Stdout, c, saturation, reports); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
