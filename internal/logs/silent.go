package logs

// Silent is a fasthttp.Logger that discards the lines that a server logs about broken connections of its clients.
type Silent struct{}

// Printf discards the line.
func (Silent) Printf(string, ...any) {}
