package logs

// Silent drops what a server logs about broken connections of its clients. It is a fasthttp.Logger.
type Silent struct{}

// Printf drops the line.
func (Silent) Printf(string, ...any) {}
