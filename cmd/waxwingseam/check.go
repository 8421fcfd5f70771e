package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
)

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Files with the set of objects."`
}

// Run checks the files as one set.
func (c *checkCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	set, findings := checker.Parse(files...)
	if err := findings.OrNil(); err != nil {
		return err
	}
	fmt.Printf("%d objects, no findings\n", len(checker.Objects(set)))
	return nil
}

// readFiles reads the files of a set. It returns a finding for each file that
// cannot be read.
func readFiles(paths []string) ([]checker.File, error) {
	var findings waxwingseam.Findings
	var files []checker.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			findings = append(findings, waxwingseam.Finding{File: path, Text: "file cannot be read"})
			continue
		}
		files = append(files, checker.File{Name: path, Data: data})
	}
	return files, trace.Wrap(findings.OrNil())
}
