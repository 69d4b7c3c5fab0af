package standin2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: objects by kind and name, one revision counter, and a history of changes. It loses nothing, and its
// answers are linearizable.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []change
	changed chan struct{} // closed at the next change
}

type metadata struct {
	Name           string
	Rev            uint64
	CreateRevision uint64
	Finalizers     []string
	Deleting       bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type change struct {
	kind    string
	rev     uint64
	Object  object
	Removed bool
}

// historySize is the number of changes that can be watched.
const historySize = 4096

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// put creates or replaces an object, as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, b
	s.write(kind, o)
}

// size returns the bytes of an object's spec.
func (s *store) size(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind][name].Spec)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.append(change{kind, s.rev, o, true})
}

func (s *store) write(kind string, o object) object {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	s.objects[kind][o.Metadata.Name] = o
	s.append(change{kind, s.rev, o, false})
	return o
}

func (s *store) append(c change) {
	s.history = append(s.history, c)
	if len(s.history) > historySize {
		s.history = s.history[len(s.history)-historySize:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	time.Sleep(4 * time.Millisecond)
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Get("Watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			s.list(w, kind, r.URL.Query().Get("After"))
			return
		}
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case http.MethodPost, http.MethodPut:
		s.change(w, r, kind, name, isStatus)
	case http.MethodDelete:
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.rev++
		delete(s.objects[kind], name)
		s.append(change{kind, s.rev, o, true})
		answer(w, http.StatusOK, o)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// change creates an object, or replaces its spec or status if it is at the revision that the call names.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, known)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Metadata.Rev != 0 && o.Metadata.Rev != known.Metadata.Rev:
		answer(w, http.StatusConflict, known)
		return
	}
	known.Metadata.Name = name
	if isStatus {
		known.Status = o.Status
	} else {
		known.Spec = o.Spec
	}
	answer(w, http.StatusOK, s.write(kind, known))
}

// maxPage bounds a page of a list.
const (
	maxPage      = 500
	maxPageBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, n := range names {
		if len(items) == maxPage || size > maxPageBytes {
			more = true
			break
		}
		o := s.objects[kind][n]
		items, size = append(items, o), size+len(o.Spec)
	}
	answer(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "CurrentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.history) == historySize && s.history[0].rev > since+1 || since > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > since {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
