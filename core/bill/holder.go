package bill

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"shallotrun/core/clock"
)

// Holder names the copy holder of a request. It is chosen when the request starts, and the caller's resume
// token carries it.
type Holder struct {
	Name string
	Inc  uint64     // a restarted holder has forgotten what it held, so it may not vouch for it
	At   clock.Time // when the request started, by the first VM's wall clock
}

// String returns the form that ParseHolder reads: NAME/INC/MILLISECONDS, "" for no holder.
func (h Holder) String() string {
	if h.Name == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d/%d", h.Name, h.Inc, int64(h.At))
}

// ParseHolder reads a holder. An empty string is no holder.
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
	return Holder{Name: p[0], Inc: inc, At: clock.Time(at)}, nil
}
