// Package operator is the port for operators: health, readiness, metrics, status and the console.
//
// /healthz, /readyz and /metrics answer anybody who reaches the port. /status and the console answer
// operators only, by HTTP basic authentication with a token whose hash is in the settings; anybody else
// sees an empty page. The console is made of forms that need no script. Its changes go through [Backend],
// which the daemon implements; the package itself decides nothing about the document.
package operator
