// Package verdict checks the records of a test run against the guarantees of the design page (section 1.1): it compares the
// answers that callers got with the logs of the simulated engines, services and platform, and reports each violation. It uses
// no data that the router itself reports.
//
// A caller's request and an engine's log entry are matched by the identity of the prompt, which is unique for each request of the
// load tool; a plain call and the service's log entry by the item.
package verdict
