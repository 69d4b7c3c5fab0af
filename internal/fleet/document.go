package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/relay"
	"shallotrun/core/work"
	"shallotrun/io/peer"
)

// maxDocument is the size limit of a document in bytes, the same as that of a response of the platform's store.
const maxDocument = 2 << 20

// documentRequest asks a peer for its document.
type documentRequest struct {
	Have uint64 `cbor:"have"` // revision that the sender has
	List bool   `cbor:"list"` // the sender has no list of VMs
}

// documentReply is a document with its revision, as a reply or sent unasked. Raw is empty if the receiver has the revision.
type documentReply struct {
	Revision uint64     `cbor:"revision"`
	Raw      []byte     `cbor:"raw,omitempty"` // JSON, deflated to about a sixth of its size
	List     []work.VM  `cbor:"list,omitempty"`
	Age      clock.Span `cbor:"age,omitempty"` // of the list
}

// relayDocument sends a new revision to this VM's children in the distribution tree of the domain.
func (f *Fleet) relayDocument() {
	revision := f.Store.Revision()
	f.mu.Lock()
	if revision <= f.relayedRevision {
		f.mu.Unlock()
		return
	}
	f.relayedRevision = revision
	children := relay.Children(f.Name, revision, f.serving(f.Clock.Now()))
	f.mu.Unlock()
	if len(children) == 0 {
		return
	}
	d := f.documentFor(documentRequest{})
	for _, n := range children {
		if err := f.transport.Send(n, peer.KindDocument, d); err != nil {
			f.Log.Debug().Err(err).Str("peer", n).Msg("relay: document not sent; the peer fetches it after a heartbeat")
		}
	}
}

// fetchDocument asks a peer for a later revision and confirms that the current one is fresh.
func (f *Fleet) fetchDocument(name string) {
	list, _ := f.Servers.LastList()
	asked := f.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var d documentReply
	if err := f.transport.Request(ctx, name, peer.KindDocumentRequest, documentRequest{Have: f.Store.Revision(), List: list == nil}, &d); err != nil {
		f.Log.Info().Err(err).Msg("relay: peer did not return its document")
		return
	}
	f.receiveDocument(name, d)
	f.Store.Confirm(d.Revision, asked)
}

// confirmRevision asks up to three peers for their revision after a pause of this process.
func (f *Fleet) confirmRevision() {
	for i, n := range f.connected(false) {
		if i == 3 {
			return
		}
		go f.fetchDocument(n)
	}
}

func (f *Fleet) documentFor(w documentRequest) documentReply {
	raw, revision := f.Store.Raw()
	d := documentReply{Revision: revision}
	if revision > w.Have {
		d.Raw = deflate(raw)
	}
	if w.List {
		d.List, d.Age = f.Servers.LastList()
	}
	return d
}

func (f *Fleet) receiveDocument(from string, d documentReply) {
	now := f.Clock.Now()
	if d.List != nil {
		f.Servers.SetList(d.List, now.Add(-d.Age))
	}
	if len(d.Raw) == 0 {
		return
	}
	f.mu.Lock()
	f.fetchLimiter.Done()
	f.mu.Unlock()
	if d.Revision <= f.Store.Revision() {
		return
	}
	raw, err := inflate(d.Raw)
	if err == nil {
		_, err = f.Store.Offer(raw, d.Revision)
	}
	if err != nil {
		f.Log.Warn().Err(err).Str("peer", from).Msg("relay: document of a peer rejected")
		return
	}
	f.relayDocument()
}

func deflate(raw []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // the only error is an unknown level
	_, _ = w.Write(raw)                          // a write to a buffer does not fail
	_ = w.Close()
	return b.Bytes()
}

func inflate(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxDocument+1))
	if err != nil {
		return nil, oops.Wrapf(err, "inflate document")
	}
	if len(raw) > maxDocument {
		return nil, oops.Errorf("document has more than %d bytes", maxDocument)
	}
	return raw, nil
}
