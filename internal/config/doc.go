// Package config holds the configuration in force on one entry VM.
//
// The [Store] takes documents from any source, by [Store.Offer], and puts a document in force when its
// revision is higher than the one in force and it is valid. It implements the Documents port of
// internal/entry. The [Watcher] is the source that reads the platform; peers are the other one. [Edit]
// changes the document in the platform by conditional update.
package config
