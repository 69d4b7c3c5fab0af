// Package document defines the configuration document: its types, parsing, validation, comparison, merging and edits.
//
// The document is one JSON value in the object config/main of the platform's store. The operator command, the console and the
// entry daemon use the same validator, so that a document which an operator may store is one that the daemon accepts. A
// document that is not valid is never put in force.
package document
