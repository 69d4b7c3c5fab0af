#!/bin/sh
# Builds the stand-ins of the second review, without a network. The gateway daemon itself is built by the line of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go test -c -o ../../target/standin-2.test .
