package scale

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// scrape reads single figures without labels from a daemon's operator port.
func scrape(addr string) (map[string]float64, error) {
	_, b, err := fasthttp.GetTimeout(nil, "http://"+addr+"/metrics", 10*time.Second)
	if err != nil {
		return nil, oops.Wrapf(err, "metrics of %s", addr)
	}
	m := make(map[string]float64)
	for _, line := range strings.Split(string(b), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			m[name] = v
		}
	}
	return m, nil
}
