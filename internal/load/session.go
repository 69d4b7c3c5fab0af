package load

import "sync"

// sessions keeps the token and the version of each open session. Only the first answer of a session sets
// the version.
type sessions struct {
	mu   sync.Mutex
	open map[string]session
}

type session struct{ token, served string }

// token returns what to send in Shallot-Session.
func (s *sessions) token(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.open[name]; ok {
		return x.token
	}
	return "new"
}

// opened notes the answer to a request of a session. Two requests may open the same session at once: the
// second token is dropped and its version not compared, because it belongs to another session. It returns
// the session's version and whether the answer kept it.
func (s *sessions) opened(name, token, served string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[string]session{}
	}
	x, ok := s.open[name]
	switch {
	case !ok && token != "" && served != "":
		s.open[name] = session{token, served}
		return served, true
	case ok && (token == x.token || token == ""):
		return x.served, served == x.served
	}
	return "", true
}

// refused closes a session whose version is no longer served.
func (s *sessions) refused(name, code string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch code {
	case "version-withdrawn", "version-halted", "session-invalid":
		delete(s.open, name)
	}
}
