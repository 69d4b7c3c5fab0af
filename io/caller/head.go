package caller

import "bytes"

// headScanner finds the end of a request's head in the bytes that arrive.
type headScanner struct {
	size    int  // bytes of the head so far, with the empty lines before it
	started bool // a byte of the request line has arrived
	text    bool // the present line has one
	done    bool
}

// add scans the next bytes, which may go on behind the head.
func (h *headScanner) add(b []byte) {
	for len(b) > 0 && !h.done {
		line, _, whole := bytes.Cut(b, []byte{'\n'})
		if len(bytes.TrimRight(line, "\r")) > 0 {
			h.text, h.started = true, true
		}
		n := len(line)
		if whole {
			n++
			h.done = h.started && !h.text // an empty line before the request line is no end
			h.text = false
		}
		h.size += n
		b = b[n:]
	}
}
