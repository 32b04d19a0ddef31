#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start: one program, review/bin/stage, without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/stage ./stage
