// Command shallotd is the entry daemon.
package main

func main() {}
