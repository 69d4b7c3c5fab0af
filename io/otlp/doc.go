// Package otlp exports trace spans, by OTLP over HTTP or as JSON to a writer.
//
// Spans are exported in the background from a bounded queue: if the receiver is slow or unreachable, spans are dropped and
// requests are not delayed.
package otlp
