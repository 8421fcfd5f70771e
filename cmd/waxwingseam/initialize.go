package main

import (
	"fmt"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/loader"
	"waxwingseam.example/waxwingseam/proposer"
)

type initializeCommand struct {
	Settings    string `required:"" help:"Settings file of the first control replica."`
	Reestablish bool   `help:"Create a new cluster from the data folder after the permanent loss of a quorum."`
}

// Run creates the identity of a new cluster. The data folder must be empty unless
// Reestablish is set.
func (c *initializeCommand) Run() error {
	settings, findings := loader.Load(c.Settings)
	if err := findings.OrNil(); err != nil {
		return err
	}
	if settings.Control == nil {
		return trace.BadParameter("%s has no control section", c.Settings)
	}
	initialize := proposer.Initialize
	if c.Reestablish {
		initialize = proposer.Reestablish
	}
	cluster, err := initialize(proposer.Config{
		DataFolder: settings.Control.DataFolder,
		Self:       settings.Control.Replica,
		Address:    settings.Process.PeerAddress,
	})
	if err != nil {
		return err
	}
	fmt.Println("cluster:", cluster)
	return nil
}
