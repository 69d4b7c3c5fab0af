// Package standin is the command line of the stand-ins. Each mode runs one stand-in with a serving port
// and a control port (see package ledger).
package standin
