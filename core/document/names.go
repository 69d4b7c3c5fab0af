package document

import "strings"

// Values of Cascade.Down.
const (
	DownFirst = "first"
	DownLast  = "last"
)

// MinShares returns the minimum shares in percent, with the defaults for values that are 0.
func (r Ranks) MinShares() (normal, batch int) {
	normal, batch = r.Normal, r.Batch
	if normal == 0 {
		normal = DefaultNormalShare
	}
	if batch == 0 {
		batch = DefaultBatchShare
	}
	return normal, batch
}

// Version returns the version of a model, nil if the document has none of that name.
func (d *Document) Version(model, version string) *Version {
	for i := range d.Models {
		if d.Models[i].Name != model {
			continue
		}
		for j := range d.Models[i].Versions {
			if d.Models[i].Versions[j].Name == version {
				return &d.Models[i].Versions[j]
			}
		}
	}
	return nil
}

// SplitRef splits MODEL@VERSION. For MODEL alone the version is "" and pinned is false.
func SplitRef(s string) (model, version string, pinned bool) {
	return strings.Cut(s, "@")
}

// ValidName reports whether s is valid as the name of a model, a version, a workspace or another part of a document.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxName || s[0] == '.' || s[0] == '-' {
		return false
	}
	for i := range len(s) {
		r := s[i]
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-'
		if !ok {
			return false
		}
	}
	return true
}

func validHash(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

func validMethod(s string) bool {
	return s != "" && len(s) <= 16 && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}
