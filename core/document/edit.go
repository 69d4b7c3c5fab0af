package document

import (
	"encoding/json"

	"github.com/samber/oops"
)

// Clone returns a deep copy of the document.
func (d *Document) Clone() (*Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, oops.Wrapf(err, "document")
	}
	out := new(Document)
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, oops.Wrapf(err, "document")
	}
	return out, nil
}

// Rollout makes a version a canary with a share of percent of the new work of its model. At 100 the version becomes the live
// one and the previous live version is drained. The live version itself cannot be made a canary, because no version would
// take the rest of the work.
func (d *Document) Rollout(model, version string, percent int) error {
	v := d.Version(model, version)
	if v == nil {
		return oops.Errorf("no version %s@%s", model, version)
	}
	if percent < 0 || percent > 100 {
		return oops.Errorf("%d%%, want 0 to 100", percent)
	}
	if v.State == Live && percent < 100 {
		return oops.Errorf("%s@%s is the live version; roll another version out to 100%% instead", model, version)
	}
	if percent < 100 {
		v.State, v.Share = Canary, percent
		return nil
	}
	for i := range d.Models {
		if d.Models[i].Name != model {
			continue
		}
		for j := range d.Models[i].Versions {
			if w := &d.Models[i].Versions[j]; w.State == Live && w.Name != version {
				w.State, w.Auto = Draining, false
			}
		}
	}
	v.State, v.Share, v.Auto = Live, 0, false
	return nil
}

// Withdraw stops all new work on a version, also of its sessions. promote is the version that becomes live in its place, ""
// for none. A document that is left with a canary and no live version is not valid.
func (d *Document) Withdraw(model, version, promote string) error {
	return d.retire(model, version, promote, Withdrawn)
}

// Drain stops new sessions and work without a session on a version; its sessions go on. promote is as for Withdraw.
func (d *Document) Drain(model, version, promote string) error {
	return d.retire(model, version, promote, Draining)
}

// retire sets a version to Draining or Withdrawn and makes another one live, unless promote is "".
func (d *Document) retire(model, version, promote, state string) error {
	v := d.Version(model, version)
	if v == nil {
		return oops.Errorf("no version %s@%s", model, version)
	}
	if promote == version {
		return oops.Errorf("%s@%s cannot take its own place", model, version)
	}
	v.State, v.Share, v.Auto = state, 0, false
	if promote == "" {
		return nil
	}
	return d.Rollout(model, promote, 100)
}
