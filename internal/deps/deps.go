// Package deps holds the declared modules until the code that uses them lands.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/mattn/go-isatty"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rotisserie/eris"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.uber.org/zap/zaptest"
	_ "go.uber.org/zap/zaptest/observer"
	_ "goji.io"
	_ "goji.io/pat"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/tomb.v2"
	_ "pgregory.net/rapid"
)
