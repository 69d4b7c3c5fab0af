package daemon

import (
	"context"

	"shallotrun/core/document"
	"shallotrun/internal/config"
	"shallotrun/io/operator"
)

// backend provides the operator port with the daemon's status and the configuration document.
type backend struct {
	*Daemon
	writer config.Writer
}

// Ready reports whether the VM accepts new work, and if not, the reason.
func (b *backend) Ready() (ok bool, reason string) {
	switch {
	case b.store.Current() == nil:
		return false, "no document is in force yet"
	case !b.serversKnown():
		return false, "no list of backend servers was read yet"
	case !b.entry.Ready():
		return false, "shutting down"
	}
	return true, ""
}

// serversKnown reports whether any backend server is known. The platform's list lags and can still be empty when it is
// first read; a VM that became ready without a server would refuse every request.
func (b *backend) serversKnown() bool { return len(b.servers.All()) > 0 }

// Current returns the document in force.
func (b *backend) Current() *document.Snapshot { return b.store.Current() }

// Read returns the document in the platform's store.
func (b *backend) Read(ctx context.Context) (document.Snapshot, error) { return b.writer.Read(ctx) }

// Replace stores a document if the platform's store still has base. It returns the new revision.
func (b *backend) Replace(ctx context.Context, base document.Snapshot, d *document.Document) (uint64, error) {
	return b.writer.Replace(ctx, base, d)
}

// Status returns the status of this VM.
func (b *backend) Status() operator.Status {
	s := operator.Status{
		VM: b.Settings.VM.Name, Domain: b.Settings.VM.Domain, At: b.Clock.Wall(), Since: b.startedAt,
		SinceReply: b.store.Staleness(), Watching: b.fleet.IsWatcher(),
	}
	s.Ready, s.Reason = b.Ready()
	if c := b.store.Current(); c != nil {
		s.Config = operator.Config{
			Revision: c.Revision, Digest: c.Digest, Since: c.At, Author: c.Document.Author, Note: c.Document.Note,
		}
	}
	if r := b.store.Refused(); r.Revision != 0 {
		s.Refused = &operator.Refused{Revision: r.Revision, Reason: r.Reason, At: r.At}
	}
	for _, h := range b.store.Halts() {
		if h.Active() {
			s.Halts = append(s.Halts, operator.Halt{Model: h.Model, Version: h.Version, Reason: h.Reason, At: h.At})
		}
	}
	for _, v := range b.servers.All() {
		s.Servers = append(s.Servers, operator.BackendServer{Name: v.Name, Pool: v.Pool, Domain: v.Domain, State: v.State})
	}
	holder, fence, until := b.control.Lease()
	if holder != "" {
		s.Lease = &operator.Lease{Holder: holder, FencingToken: fence, Until: until}
	}
	for _, domain := range b.domains() {
		for _, m := range b.fleet.Members(domain) {
			s.Peers = append(s.Peers, operator.Peer{
				VM: m.Name, Domain: m.Domain, State: m.State.String(), Config: operator.Config{Revision: m.Revision}, LastHeartbeat: m.HeartbeatReceived,
			})
		}
	}
	return s
}

// domains returns this VM's failure domain, followed by the others of the document in force.
func (b *backend) domains() []string {
	out := []string{b.Settings.VM.Domain}
	if c := b.store.Current(); c != nil {
		for _, n := range c.Document.Domains {
			if n != out[0] {
				out = append(out, n)
			}
		}
	}
	return out
}
