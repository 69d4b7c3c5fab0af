// Package demo runs the whole system as processes on loopback addresses under mixed load: a version is
// rolled out and withdrawn, one entry VM stops gracefully and another is killed. The figures at the end come
// from the stand-ins' records and the load tool.
package demo
