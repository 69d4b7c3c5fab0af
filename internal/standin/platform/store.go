package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"
)

// watchHistory is the least number of latest changes that are kept for watches. A watch from an older version misses the changes
// that were dropped.
const watchHistory = 100000

// Object is one stored object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Items is the reply to a list or a watch. Version is the store's version at the time of the reply.
type Items struct {
	Version uint64   `json:"version"`
	Items   []Object `json:"items"`
}

// store holds the objects. Each change closes the channel on which watches wait.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[string]Object // by kind/name
	changes []Object
	changed chan struct{}
}

func (s *store) init() {
	s.objects, s.changed = map[string]Object{}, make(chan struct{})
}

func (s *store) get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	return o, ok
}

// put stores or deletes an object if cond holds: "" always holds, "absent" if there is no object, and a number if it is the
// version of the object. It returns the object as stored, or the existing one and false.
func (s *store) put(kind, name, cond string, value []byte, del bool) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind+"/"+name]
	if !conditionHolds(cond, old, ok) {
		return old, false
	}
	s.version++
	o := Object{Kind: kind, Name: name, Version: s.version, Value: encodeValue(value), Deleted: del}
	if del {
		o.Value = nil
		delete(s.objects, kind+"/"+name)
	} else {
		s.objects[kind+"/"+name] = o
	}
	if s.changes = append(s.changes, o); len(s.changes) > 2*watchHistory {
		s.changes = slices.Clone(s.changes[watchHistory:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

func (s *store) list(kind, prefix string) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := Items{Version: s.version, Items: []Object{}}
	for _, o := range s.objects {
		if o.Kind == kind && strings.HasPrefix(o.Name, prefix) {
			items.Items = append(items.Items, o)
		}
	}
	slices.SortFunc(items.Items, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// since returns the changes of a kind after a version, and a channel that closes at the next change.
func (s *store) since(kind string, version uint64) (Items, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := Items{Version: s.version, Items: []Object{}}
	for _, o := range s.changes {
		if o.Kind == kind && o.Version > version {
			items.Items = append(items.Items, o)
		}
	}
	return items, s.changed
}

func conditionHolds(cond string, o Object, ok bool) bool {
	switch cond {
	case "":
		return true
	case "absent":
		return !ok
	default:
		return ok && cond == itoa(o.Version)
	}
}

func encodeValue(value []byte) json.RawMessage {
	if utf8.Valid(value) && json.Valid(value) {
		return slices.Clone(value)
	}
	b, _ := json.Marshal(value)
	return b
}
