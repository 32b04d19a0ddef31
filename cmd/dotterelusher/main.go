// Command dotterelusher is the command-line client for operators and callers.
package main

import (
	"context"
	"os"

	"github.com/mattn/go-isatty"

	"github.com/dotterelusher/dotterelusher/internal/tool/dottercommand"
)

func main() {
	interactive := isatty.IsTerminal(os.Stderr.Fd())
	program := dottercommand.NewProgram(context.Background(), os.Stdout, os.Stderr, interactive)
	os.Exit(program.Run(os.Args[1:]))
}
