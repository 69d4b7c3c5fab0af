// Package otlp exports trace spans, by OTLP over HTTP or as JSON to a writer.
//
// Export happens in the background from a bounded queue: when the receiver is slow or gone, spans are dropped
// and requests go on.
package otlp
