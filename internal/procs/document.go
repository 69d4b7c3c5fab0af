package procs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"shallotrun/core/document"
	"shallotrun/internal/load"
)

// Document returns the configuration of the runners: a model with a live and a canary version, a model with one version, a plain
// service, a route, a cascade and ten workspaces. The last workspace may use only one version of one model.
func Document() *document.Document {
	d := &document.Document{
		Author: "runner", Domains: Domains,
		Models: []document.Model{
			{Name: "small", Versions: []document.Version{
				{Name: "1", State: document.Live, Cost: 100, Exact: true},
				{Name: "2", State: document.Canary, Cost: 100, Exact: true},
			}},
			{Name: "large", Versions: []document.Version{{Name: "1", State: document.Live, Cost: 1000, Exact: true}}},
		},
		Pools: []document.Pool{
			{Name: "small", Models: []string{"small"}, Slots: 16},
			{Name: "large", Models: []string{"large"}, Slots: 16},
		},
		Services: []document.Service{{Name: "tags", Pool: "desk", Slots: 32, Calls: []document.Call{
			{Method: "PUT", Path: "/tags/", Repeat: true},
		}}},
		Routes:   []document.Route{{Name: "labels", Model: "small"}},
		Cascades: []document.Cascade{{Name: "careful", Stages: []string{"small", "large"}, Quality: 90, Down: "last"}},
	}
	for i, t := range Tenants() {
		h := sha256.Sum256([]byte(t.Key))
		w := document.Workspace{
			Name: t.Name, Keys: []string{hex.EncodeToString(h[:])}, Allow: []string{"small", "large"},
			Services: []string{"tags"}, Rank: "urgent", Weight: 1, Routes: []string{"labels", "careful"},
		}
		if i == len(Tenants())-1 { // the last workspace may use only one version of one model
			w.Allow, w.Routes = []string{"small@1"}, []string{"labels"}
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

// Tenants returns the workspaces with their keys and their share of the load. The first two of the ten send most of the requests.
func Tenants() []load.Tenant {
	var ts []load.Tenant
	for i := range 10 {
		t := load.Tenant{Name: fmt.Sprintf("yard-%d", i+1), Key: fmt.Sprintf("key-of-yard-%d", i+1), Weight: 1}
		if i < 2 {
			t.Weight = 6
		}
		ts = append(ts, t)
	}
	return ts
}

// ReadDocument returns the document in the platform's store and its revision.
func (f *Fleet) ReadDocument() (*document.Document, uint64, error) {
	out, err := f.Ctl("show", "-json")
	if err != nil {
		return nil, 0, err
	}
	var v struct {
		Revision uint64             `json:"revision"`
		Document *document.Document `json:"document"`
	}
	if err := json.Unmarshal([]byte(out), &v); err != nil || v.Document == nil {
		return nil, 0, oops.Errorf("show gave no document: %v: %s", err, out)
	}
	return v.Document, v.Revision, nil
}

// EditDocument reads the document, changes it and applies it as one operator would, conditional on the revision read. It fails if
// another operator changed the document in the meantime. The changed document is kept in the file NAME.json.
func (f *Fleet) EditDocument(name string, change func(*document.Document)) error {
	d, revision, err := f.ReadDocument()
	if err != nil {
		return err
	}
	change(d)
	b, err := json.Marshal(d)
	if err != nil {
		return err
	}
	file := filepath.Join(f.Dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	_, err = f.Ctl("apply", "-base", fmt.Sprint(revision), file)
	return err
}

// Apply makes a document the current one by means of the operator command.
func (f *Fleet) Apply(d *document.Document) error {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.Dir, "document.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	_, err = f.Ctl("apply", file)
	return err
}
