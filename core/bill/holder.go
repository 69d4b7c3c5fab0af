package bill

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"shallotrun/core/clock"
)

// Holder identifies the copy holder of a request. It is chosen when the request starts and is part of the caller's
// resume token.
type Holder struct {
	Name      string     // "" for no holder
	Inc       uint64     // incarnation: a restarted VM has lost its copies and cannot answer for them
	StartedAt clock.Time // start of the request by the wall clock of its first VM
}

// String returns the form that ParseHolder reads: NAME/INC/MILLISECONDS, or "" for no holder.
func (h Holder) String() string {
	if h.Name == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d/%d", h.Name, h.Inc, int64(h.StartedAt))
}

// ParseHolder parses the form that String returns. An empty string is no holder.
func ParseHolder(s string) (Holder, error) {
	if s == "" {
		return Holder{}, nil
	}
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" {
		return Holder{}, oops.Errorf("holder %q is not NAME/INC/MILLISECONDS", s)
	}
	inc, err := strconv.ParseUint(p[1], 10, 64)
	if err != nil {
		return Holder{}, oops.Wrapf(err, "holder %q", s)
	}
	at, err := strconv.ParseInt(p[2], 10, 64)
	if err != nil {
		return Holder{}, oops.Wrapf(err, "holder %q", s)
	}
	return Holder{Name: p[0], Inc: inc, StartedAt: clock.Time(at)}, nil
}
