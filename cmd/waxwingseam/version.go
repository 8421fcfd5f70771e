package main

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version recorded in the binary's build information.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("waxwingseam", version)
	return err
}
