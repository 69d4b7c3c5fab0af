// Package launch is the command line that the daemons share.
package launch
