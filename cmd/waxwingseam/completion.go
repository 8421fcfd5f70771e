package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
)

type completionCommand struct{}

// Run prints a completion script for bash. The script completes the command, and
// after it the command's flags and file names.
func (completionCommand) Run(k *kong.Kong) error {
	return writeCompletion(os.Stdout, k.Model)
}

func writeCompletion(w io.Writer, model *kong.Application) error {
	names := make([]string, 0, len(model.Children))
	var cases strings.Builder
	for _, command := range model.Children {
		names = append(names, command.Name)
		fmt.Fprintf(&cases, "    %s) flags=\"%s\" ;;\n", command.Name, strings.Join(flagNames(command), " "))
	}
	_, err := fmt.Fprintf(w, `_waxwingseam() {
  local current="${COMP_WORDS[COMP_CWORD]}" flags=""
  if [ "${COMP_CWORD}" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "${current}"))
    return
  fi
  case "${COMP_WORDS[1]}" in
%s  esac
  case "${current}" in
    -*) COMPREPLY=($(compgen -W "${flags}" -- "${current}")) ;;
    *) COMPREPLY=($(compgen -f -- "${current}")) ;;
  esac
}
complete -o filenames -F _waxwingseam waxwingseam
`, strings.Join(names, " "), cases.String())
	return trace.Wrap(err)
}

func flagNames(command *kong.Node) []string {
	names := []string{"--help"}
	for _, flag := range command.Flags {
		if flag.Name != "help" {
			names = append(names, "--"+flag.Name)
		}
	}
	return names
}
