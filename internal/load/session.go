package load

import "sync"

// sessions holds the token and the model version of each open session. The first answer of a session sets the version; later
// answers must be of the same one.
type sessions struct {
	mu   sync.Mutex
	open map[string]session
}

type session struct{ token, served string }

// token returns the value to send in Shallot-Session: the token of the open session, or "new".
func (s *sessions) token(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.open[name]; ok {
		return x.token
	}
	return "new"
}

// recordAnswer takes the token and the version of an answer to a request of a session. It returns the session's version and whether
// the answer has the same. If two requests open the same session at once, the second token is dropped and its version is not
// compared, because the VMs opened two sessions.
func (s *sessions) recordAnswer(name, token, served string) (string, bool) {
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

// recordRefusal closes a session if the code of the refusal means that its version is no longer served or its token is invalid.
func (s *sessions) recordRefusal(name, code string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch code {
	case "version-withdrawn", "version-halted", "session-invalid":
		delete(s.open, name)
	}
}
