package main

import (
	"os"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/explainer"
)

type explainCommand struct {
	Request string   `arg:"" help:"Identifier of the request, as its caller sent it."`
	Files   []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Run prints the timeline of one request. The last line names the cause of the
// outcome.
func (c *explainCommand) Run() error {
	timeline := explainer.New(c.Request)
	for _, name := range c.Files {
		if err := c.read(timeline, name); err != nil {
			return err
		}
	}
	return timeline.Write(os.Stdout)
}

func (c *explainCommand) read(timeline *explainer.Timeline, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	return timeline.Read(name, file)
}
