// Package standin implements the command standin. Each mode runs a stand-in for one of the systems around the router, with a
// serving port and a control port (see package ledger).
package standin
