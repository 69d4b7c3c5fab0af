#!/usr/bin/env bash
# Builds the stand-ins of all cases to review/bin. It needs no network: the module uses only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOWORK=off GOPROXY=off CGO_ENABLED=0 go test -c -o ../bin/cases .
