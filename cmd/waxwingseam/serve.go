package main

import (
	"waxwingseam.example/waxwingseam/exporter"
	"waxwingseam.example/waxwingseam/starter"
)

type serveCommand struct {
	Settings string `required:"" type:"path" help:"Settings file of the process."`
	Record   string `type:"path" help:"File that the node's events and effects are recorded in."`
}

// Run serves until a signal stops the process.
func (c *serveCommand) Run() error {
	return starter.Serve(starter.Config{
		Settings:    c.Settings,
		Record:      c.Record,
		NewExporter: exporter.New,
	})
}
