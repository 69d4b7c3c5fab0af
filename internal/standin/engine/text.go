package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockWords is the number of prompt tokens in one block of the prefix cache.
const blockWords = 16

var words = strings.Fields(`gate hangar pallet crane rivet panel torque spool ledger manifest berth tide
shackle winch hatch beacon cargo lading ballast keel rudder stern galley mast cleat fathom anchor buoy
harbor lock quay pilot tug draft plank oak walnut maple dowel tenon mortise veneer lathe chisel plane
rasp clamp glue sand polish stain hinge drawer shelf cabinet frame joint groove bevel grain knot`)

// TokenText returns token number n (counted from 1) of the answer of a model version to a prompt.
func TokenText(model, version, prompt string, n int) string {
	h := mixBits(seed(model, version, prompt) + uint64(n))
	return " " + words[h%uint64(len(words))]
}

// Length returns the number of tokens of the answer, and whether it ends by itself ("stop") or at the limit ("length"). An answer
// that ends by itself has between 8 and 71 tokens. A limit of 0 means no limit.
func Length(model, version, prompt string, limit int) (int, string) {
	n := 8 + int(mixBits(seed(model, version, prompt))%64)
	if limit > 0 && limit < n {
		return limit, "length"
	}
	return n, "stop"
}

// Answer returns the whole text of the answer.
func Answer(model, version, prompt string, limit int) string {
	n, _ := Length(model, version, prompt, limit)
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(TokenText(model, version, prompt, i))
	}
	return b.String()
}

// PromptID returns the hash by which the ledger identifies a prompt.
func PromptID(prompt string) string { return hex(xxhash.Sum64String(prompt)) }

// PromptTokens returns the number of tokens of a prompt: its words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// blocks returns a chained hash for each whole block of the prompt, so that equal hashes mean equal prefixes.
func blocks(prompt string) []uint64 {
	ws := strings.Fields(prompt)
	var hs []uint64
	d := xxhash.New()
	for i, w := range ws {
		d.WriteString(w)
		d.WriteString(" ")
		if (i+1)%blockWords == 0 {
			hs = append(hs, d.Sum64())
		}
	}
	return hs
}

func seed(model, version, prompt string) uint64 {
	d := xxhash.New()
	d.WriteString(model)
	d.WriteString("@")
	d.WriteString(version)
	d.WriteString("\x00")
	d.WriteString(prompt)
	return d.Sum64()
}

// mixBits spreads neighbouring numbers over all bits (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
