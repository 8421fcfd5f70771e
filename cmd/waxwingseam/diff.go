package main

import (
	"context"
	"fmt"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/operator"
)

type diffCommand struct {
	controlFlags
	Output string   `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`
	Files  []string `arg:"" name:"file" help:"Files with the complete set of objects."`
}

// Run prints the differences between the newest revision and the files.
func (c *diffCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		answer, err := client.Differences(ctx, administrator.DifferencesRequest{Files: files})
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return printJSON(answer)
		}
		fmt.Printf("against revision %d: %d objects differ\n", answer.Revision, len(answer.Differences))
		for _, d := range answer.Differences {
			printDifference(d)
		}
		return nil
	})
}

func printDifference(d checker.Difference) {
	switch {
	case d.Before == nil:
		fmt.Printf("+ [%s]\n", d.ID)
	case d.After == nil:
		fmt.Printf("- [%s]\n", d.ID)
	default:
		fmt.Printf("  [%s]\n", d.ID)
	}
	for _, v := range d.Before {
		if textOf(d.After, v.Key) != v.Text {
			fmt.Printf("-   %s = %s\n", v.Key, v.Text)
		}
	}
	for _, v := range d.After {
		if textOf(d.Before, v.Key) != v.Text {
			fmt.Printf("+   %s = %s\n", v.Key, v.Text)
		}
	}
}

// textOf returns the text of a key, or an empty string if the key is absent.
func textOf(values []checker.Value, key string) string {
	for _, v := range values {
		if v.Key == key {
			return v.Text
		}
	}
	return ""
}
