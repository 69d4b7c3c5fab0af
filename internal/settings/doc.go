// Package settings reads the INI settings files of the entry daemon ([Settings]) and of the gateway daemon ([Front]). A settings
// file names the VM, its ports, keys and bounds; everything that operators change while the system runs is in the configuration
// document.
//
// [Load] and [LoadFront] report every fault at once, each with file, section and key, so that one check of a file finds all of
// them. In the entry daemon's file, a value of the form env:NAME is read from the environment variable NAME, so that no secret
// has to be in the file.
package settings
