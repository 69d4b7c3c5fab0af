// Package route maps an API key to its workspace and the name that a caller asked for to the models and
// versions that the workspace allows, and checks at dispatch that a version may get work now.
//
// A Table is compiled from one document and never changes. Random numbers and the state of the rest of the
// daemon come in as arguments, so the same arguments always give the same choice.
package route
