package scale

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against figures read from the wrong field of the kernel's files, which would be plausible and wrong.
func TestProcessUsage(t *testing.T) {
	before, err := process(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, before.memory > 1 && before.memory < 2000, "%v MB", before.memory)
	f, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	assert.NilError(t, err)
	defer f.Close()
	const size = 1 << 20
	_, err = f.Write(make([]byte, size))
	assert.NilError(t, err)
	after, err := process(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, after.bytes-before.bytes >= size, "%v bytes", after.bytes-before.bytes)
	assert.Assert(t, after.cpu >= before.cpu)
}

// Guards against a fleet that is not the one the line names.
func TestFleetLayout(t *testing.T) {
	tests := []struct{ vms, domains, each int }{{9, 3, 3}, {30, 10, 3}, {90, 10, 9}, {270, 10, 27}, {340, 10, 34}}
	for _, tc := range tests {
		f := (&Scale{}).fleet(tc.vms)
		domains := len(f.Names)
		if domains == 0 {
			domains = 3
		}
		assert.Equal(t, domains, tc.domains)
		assert.Equal(t, f.Entries, tc.each)
	}
}
