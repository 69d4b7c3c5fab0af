package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name                string
		Rev, CreateRevision uint64
	}
	Spec   json.RawMessage `json:",omitempty"`
	Status json.RawMessage `json:",omitempty"`
}

type change struct {
	kind    string
	object  object
	removed bool
	rev     uint64
}

// store is a stand-in of the platform's store. It serves lists in pages, watches, and writes with and without a condition.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	changes []change
	wake    chan struct{}
	down    bool // all calls are answered 503
}

const pageSize = 500

func newStore(r *run) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), rev: 100, objects: make(map[string]map[string]object), wake: make(chan struct{})}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(ln) }()
	r.atEnd(func() { _ = srv.Close() })
	return s, nil
}

// put writes the spec of an object.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.commit(kind, o, false)
}

// setDown sets whether the store answers all calls with 503. It ends the watches that wait.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.wake)
	s.wake = make(chan struct{})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.commit(kind, o, true)
	}
}

// commit gives an object the next revision. mu is held.
func (s *store) commit(kind string, o object, removed bool) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.changes = append(s.changes, change{kind, o, removed, s.rev})
	close(s.wake)
	s.wake = make(chan struct{})
	return o
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("Watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("After"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		answer(w, ok, http.StatusNotFound, o)
	default:
		s.write(w, r, parts)
	}
}

func answer(w http.ResponseWriter, ok bool, otherwise int, v any) {
	if !ok {
		w.WriteHeader(otherwise)
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	out := struct {
		Items      []object
		HasMore    bool
		CurrentRev uint64
	}{Items: []object{}, HasMore: len(names) > pageSize, CurrentRev: s.rev}
	for _, n := range names[:min(len(names), pageSize)] {
		out.Items = append(out.Items, s.objects[kind][n])
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	type event struct {
		Object  object
		Removed bool
	}
	for last := false; ; {
		s.mu.Lock()
		wake, down := s.wake, s.down
		out := struct {
			Events     []event `json:"events"`
			CurrentRev uint64
		}{Events: []event{}, CurrentRev: s.rev}
		for _, c := range s.changes {
			if c.kind == kind && c.rev > from {
				out.Events = append(out.Events, event{c.object, c.removed})
			}
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(out.Events) > 0 || last {
			_ = json.NewEncoder(w).Encode(out)
			return
		}
		select {
		case <-wake:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	rev := in.Metadata.Rev
	if n, err := strconv.ParseUint(r.URL.Query().Get("Rev"), 10, 64); err == nil {
		rev = n
	}
	switch {
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && rev != 0 && rev != old.Metadata.Rev:
		answer(w, false, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		answer(w, true, 0, s.commit(kind, old, true))
		return
	}
	old.Metadata.Name = name
	if len(parts) == 3 {
		old.Status = in.Status
	} else {
		old.Spec = in.Spec
	}
	answer(w, true, 0, s.commit(kind, old, false))
}
