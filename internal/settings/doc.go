// Package settings reads the INI settings of the entry daemon. A settings file names the VM, its ports and
// its keys; everything that operators change while the system runs is in the configuration document.
//
// Load reports every fault at once, each with file, section and key. A value of the form env:NAME is read
// from the environment variable NAME, so that no secret has to be in the file.
package settings
