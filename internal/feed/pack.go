package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"

	"shallotrun/io/peer"
)

// maxUnpackedSize is the size limit in bytes of a value that is decompressed, as a small message can expand to a very large one.
const maxUnpackedSize = 16 << 20

// Packed is an encoded and compressed value. Lists of objects and configurations compress well, as much of their text repeats.
type Packed []byte

// pack encodes and compresses a value.
func pack(v any) (Packed, error) {
	raw, err := peer.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, oops.Wrapf(err, "pack")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, oops.Wrapf(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, oops.Wrapf(err, "pack")
	}
	return out.Bytes(), nil
}

// unpack decompresses and decodes a packed value into v.
func (p Packed) unpack(v any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedSize+1))
	switch {
	case err != nil:
		return oops.Wrapf(err, "unpack %d bytes", len(p))
	case len(raw) > maxUnpackedSize:
		return oops.Errorf("unpack %d bytes: more than %d", len(p), maxUnpackedSize)
	}
	return peer.Unmarshal(raw, v)
}

// packedCache caches the packed form of a value until its version changes, because many VMs ask for it at the same time.
type packedCache struct {
	version uint64 // of the value
	packed  Packed
}

// get returns the packed form of a value. It calls value only if the cached form has another version.
func (s *packedCache) get(version uint64, value func() any) (Packed, error) {
	if s.packed != nil && s.version == version {
		return s.packed, nil
	}
	p, err := pack(value())
	if err != nil {
		return nil, err
	}
	s.version, s.packed = version, p
	return p, nil
}
