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
	// None sees nothing.
	None Right = iota
	// View reads.
	View
	// Change reads and changes.
	Change
)

// Right is what an operator may do.
type Right uint8

// Person is an operator with the hash of a token.
type Person struct {
	Name  string
	Hash  string // hex SHA-256 of the token
	Right Right
}

// Login is the name and the token of an operator.
type Login struct {
	Name  string
	Token string
}

func (l Login) set(req *fasthttp.Request) {
	if l.Name != "" || l.Token != "" {
		basic := base64.StdEncoding.EncodeToString([]byte(l.Name + ":" + l.Token))
		req.Header.Set(fasthttp.HeaderAuthorization, "Basic "+basic)
	}
}

// identify returns the operator that the request names with a valid token. It compares with every person
// so that the time taken does not tell which names exist.
func identify(persons []Person, header string) (Person, bool) {
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
	return found, found.Right != None
}
