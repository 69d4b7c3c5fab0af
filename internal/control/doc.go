// Package control acts for one failure domain towards its model engines: it holds the lease of the domain
// and orders engines to load and unload versions and to take roles, until they match the document.
//
// The lease is asked directly before each order. An order has an id that stays the same until its outcome
// is known, so a lost response leads to the same order again; what took effect is read back from the
// engine's load report. A new holder starts from the document and the reports, and needs nothing from the
// holder before.
package control
