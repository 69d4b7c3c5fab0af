package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"

	"shallotrun/io/peer"
)

// maxUnpacked is the size limit of what is unpacked from another VM, in bytes.
const maxUnpacked = 16 << 20

// Packed is a value that is handed on compressed: lists of objects and configurations repeat most of their text.
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

// unpack reads a packed value into v.
func (p Packed) unpack(v any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked+1))
	switch {
	case err != nil:
		return oops.Wrapf(err, "unpack %d bytes", len(p))
	case len(raw) > maxUnpacked:
		return oops.Errorf("unpack %d bytes: more than %d", len(p), maxUnpacked)
	}
	return peer.Unmarshal(raw, v)
}

// snapshot keeps the packed form of a value while the value is the same, because many VMs ask for it at the same moment.
type snapshot struct {
	mark   uint64 // revision or version of the value
	packed Packed
}

// of returns the packed form of the value with a mark.
func (s *snapshot) of(mark uint64, value func() any) (Packed, error) {
	if s.packed != nil && s.mark == mark {
		return s.packed, nil
	}
	p, err := pack(value())
	if err != nil {
		return nil, err
	}
	s.mark, s.packed = mark, p
	return p, nil
}
