package review

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

// store is a stand-in for the platform's metadata store: objects by kind and name, lists, watches and conditional writes.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []event
	changed chan struct{}
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type metadata struct {
	Name           string
	Rev            uint64   `json:",omitempty"`
	CreateRevision uint64   `json:",omitempty"`
	Finalizers     []string `json:",omitempty"`
}

type event struct {
	kind    string
	rev     uint64
	Object  object
	Removed bool
}

// startStore starts a store with a configuration.
func (w *world) startStore(config any) {
	s := &store{addr: addr(250, portStore), rev: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	ln, err := net.Listen("tcp", s.addr)
	must(err)
	w.store = s
	s.put("config", "main", config)
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(ln) }()
}

// put writes the spec of an object as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.commit(kind, o, false)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.commit(kind, o, true)
	}
}

// commit gives a change the next revision and wakes the watches. s.mu is held.
func (s *store) commit(kind string, o object, removed bool) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	}
	s.events = append(s.events, event{kind, s.rev, o, removed})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Store-Era", "1")
	if r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch") {
		s.watch(rw, r, parts[0])
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.call(r, parts)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// call executes a call other than a watch. s.mu is held.
func (s *store) call(r *http.Request, parts []string) (status int, body any) {
	kind := parts[0]
	if r.Method == http.MethodGet && len(parts) == 1 {
		items := make([]object, 0, len(s.objects[kind]))
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		return http.StatusOK, map[string]any{"Items": items, "HasMore": false, "CurrentRev": s.rev}
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return http.StatusBadRequest, nil
		}
	}
	name := in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, ok := s.objects[kind][name]
	rev := in.Metadata.Rev
	if v := r.URL.Query().Get("Rev"); v != "" {
		rev, _ = strconv.ParseUint(v, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && ok:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.commit(kind, object{Metadata: metadata{Name: name}, Spec: in.Spec, Status: in.Status}, false)
	case !ok:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case rev != 0 && rev != old.Metadata.Rev:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.commit(kind, old, true)
	case len(parts) == 3 && parts[2] == "status":
		old.Status = in.Status
	default:
		old.Spec, old.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	return http.StatusOK, s.commit(kind, old, false)
}

// watch answers with the changes of a kind after a revision as soon as there are any, or with none after the time that it may wait.
func (s *store) watch(rw http.ResponseWriter, r *http.Request, kind string) {
	rev, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		out := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > rev {
				out = append(out, e)
			}
		}
		now, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 || !waiting {
			_ = json.NewEncoder(rw).Encode(map[string]any{"events": out, "CurrentRev": now})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
