// Package demo runs the whole system as processes on loopback addresses under a mixed load, for people who want to see it handle
// changes and failures: a version is rolled out and withdrawn, one entry VM is stopped gracefully and another is killed. The figures
// at the end come from the records of the stand-ins and of the load generator.
package demo
