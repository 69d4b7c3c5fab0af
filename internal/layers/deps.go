//go:build deps

// This file keeps the project's libraries in go.mod while the packages that use them are written.

package layers

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fasthttp/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rs/zerolog"
	_ "github.com/samber/oops"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttpadaptor"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
