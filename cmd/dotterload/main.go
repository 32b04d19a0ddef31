// Command dotterload generates a bounded load and measures the responses.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dotterelusher/dotterelusher/internal/tool/dotterload"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := dotterload.NewProgram(ctx, os.Stdout, os.Stderr).Run(os.Args[1:])
	stop()
	os.Exit(code)
}
