package caller

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a head whose end is not seen, wherever it is cut, so that the time for heads would end its body.
func TestHeadScanner(t *testing.T) {
	for _, c := range []struct {
		text string
		size int // of the head, 0 if it has no end
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody\r\n\r\n", 27},
		{"GET / HTTP/1.1\nHost: x\n\nbody", 24},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\n", 22},
		{"GET / HTTP/1.1\r\n\r\n", 18},
		{"GET / HTTP/1.1\r\nHost: x\r\n", 0},
		{"\r\n\r\n\r\n", 0},
		{"GET /", 0},
	} {
		for cut := range len(c.text) + 1 {
			var h headScanner
			h.add([]byte(c.text[:cut]))
			h.add([]byte(c.text[cut:]))
			assert.Equal(t, h.done, c.size > 0, "%q cut at %d", c.text, cut)
			if h.done {
				assert.Equal(t, h.size, c.size, fmt.Sprintf("%q cut at %d", c.text, cut))
			}
		}
	}
}
