// Package launch parses the command line and loads the settings of a daemon, in the same way for all daemons. Wrong arguments or
// settings are reported before the daemon starts.
package launch
