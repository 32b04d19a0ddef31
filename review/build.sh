#!/usr/bin/env bash
# Builds the stand-ins that the cases start: one program, review/bin/stand, without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/stand ./stand
