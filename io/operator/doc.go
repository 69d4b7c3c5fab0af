// Package operator serves the HTTP port for operators: health, readiness, metrics, status and the console.
//
// /healthz, /readyz and /metrics need no authentication. /status and the console are for operators only, by HTTP basic
// authentication with a token whose hash is in the settings; everybody else gets an empty response. The console
// consists of forms that work without scripts. It reads and replaces the document through [Backend], which the daemon
// implements and which decides whether a change is stored.
package operator
