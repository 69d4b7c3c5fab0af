package document

import (
	"fmt"
	"strings"
)

// Fault is one reason why a document is not valid.
type Fault struct {
	Path string `json:"path"` // JSON path, for example models[0].versions[1].share
	Text string `json:"text"`
}

// Faults is the error of Parse for a document that is not valid. It holds every fault that was found.
type Faults []Fault

// String returns the path, if there is one, and the text.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

// Error returns the number of faults and each fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the document has %d fault(s)", len(f)))
	for _, e := range f {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}
