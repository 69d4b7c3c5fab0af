// Package standin holds the stand-ins of the third review, as a test binary: the platform's store, backend servers, callers, and the start
// of the project's own daemon as a process. Its main function is TestMain.
package standin
