package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/valyala/fasthttp"
)

// Rights of an operator.
const (
	// RightNone gives no access.
	RightNone Right = iota
	// RightView allows reading.
	RightView
	// RightChange allows reading and changing.
	RightChange
)

// Right is the permission of an operator.
type Right uint8

// Person is the account of an operator.
type Person struct {
	Name  string
	Hash  string // hex SHA-256 of the token
	Right Right
}

// Login holds the credentials of an operator, in plain text.
type Login struct {
	Name  string
	Token string
}

// setAuthorization adds the credentials to a request, unless both are empty.
func (l Login) setAuthorization(req *fasthttp.Request) {
	if l.Name != "" || l.Token != "" {
		basic := base64.StdEncoding.EncodeToString([]byte(l.Name + ":" + l.Token))
		req.Header.Set(fasthttp.HeaderAuthorization, "Basic "+basic)
	}
}

// authenticate returns the operator whose name and token are in an Authorization header. It compares them with all
// accounts in constant time, so that the time taken does not reveal which names exist.
func authenticate(persons []Person, header string) (Person, bool) {
	basic, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return Person{}, false
	}
	raw, err := base64.StdEncoding.DecodeString(basic)
	if err != nil {
		return Person{}, false
	}
	name, token, ok := strings.Cut(string(raw), ":")
	if !ok || token == "" {
		return Person{}, false
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	var found Person
	for _, p := range persons {
		same := subtle.ConstantTimeCompare([]byte(p.Name), []byte(name)) & subtle.ConstantTimeCompare([]byte(p.Hash), []byte(hash))
		if same == 1 {
			found = p
		}
	}
	return found, found.Right != RightNone
}
