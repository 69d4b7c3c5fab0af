package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// keyBytes is the length of a secret in bytes: the output length of SHA-256, below which an HMAC key is weaker than the hash.
const keyBytes = 32

// name reads a name as the configuration document allows it.
func name(to *string, v string) error {
	if !document.ValidName(v) {
		return oops.Errorf("%q, want up to %d letters, digits, dots, dashes and underscores", v, document.MaxName)
	}
	*to = v
	return nil
}

// addr reads IP:port. Host names are refused, so that the daemon does not depend on a name service.
func addr(to *string, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return oops.Errorf("%q, want IP:port", v)
	}
	*to = v
	return nil
}

// addrs reads a list of IP:port, separated by commas.
func addrs(to *[]string, v string) error {
	for _, s := range split(v) {
		var a string
		if err := addr(&a, s); err != nil {
			return err
		}
		*to = append(*to, a)
	}
	return nil
}

// integer reads a whole number between two bounds, both included.
func integer(to *int, v string, low, high int) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		return oops.Errorf("%q, want a whole number from %d to %d", v, low, high)
	}
	*to = n
	return nil
}

// span reads a whole number of milliseconds between two bounds, both included.
func span(to *clock.Span, v string, low, high int) error {
	var n int
	if err := integer(&n, v, low, high); err != nil {
		return err
	}
	*to = clock.Span(n)
	return nil
}

// choice reads one of the allowed values.
func choice(to *string, v string, allowed ...string) error {
	if !slices.Contains(allowed, v) {
		return oops.Errorf("%q, want one of %s", v, strings.Join(allowed, ", "))
	}
	*to = v
	return nil
}

func httpURL(to *string, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return oops.Errorf("%q, want an http or https URL", v)
	}
	*to = v
	return nil
}

// secret reads a key in hex digits. Its error does not show the value.
func secret(to *[]byte, v string) error {
	raw, err := hex.DecodeString(v)
	if err != nil || len(raw) != keyBytes {
		return oops.Errorf("want %d hex digits, got %d characters", 2*keyBytes, len(v))
	}
	*to = raw
	return nil
}

// secrets reads a list of keys, separated by commas. Its error shows no value.
func secrets(to *[][]byte, v string) error {
	for _, s := range split(v) {
		var k []byte
		if err := secret(&k, s); err != nil {
			return err
		}
		*to = append(*to, k)
	}
	return nil
}

// operators reads a list of NAME:HASH, separated by commas.
func operators(to *[]Operator, v string) error {
	for _, s := range split(v) {
		n, h, _ := strings.Cut(s, ":")
		if !document.ValidName(n) {
			return oops.Errorf("operator %q, want a name of letters, digits, dots, dashes and underscores", n)
		}
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			return oops.Errorf("operator %q, want the SHA-256 of a token in 64 hex digits after the colon", n)
		}
		if slices.ContainsFunc(*to, func(p Operator) bool { return p.Name == n }) {
			return oops.Errorf("operator %q occurs twice", n)
		}
		*to = append(*to, Operator{Name: n, Hash: strings.ToLower(h)})
	}
	return nil
}

// split returns the parts of a list that is separated by commas, without empty parts.
func split(v string) []string {
	var out []string
	for s := range strings.SplitSeq(v, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}
