// Package document holds the configuration document: its types, parsing, validation and comparison.
//
// The document is one JSON value in the platform's object config/main. The operator command, the console
// and the entry daemon use the same validator. A document that does not validate is never put in force.
package document
