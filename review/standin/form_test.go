package review

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["form"] = formBody }

const formRequests = 60

// formBody sends requests with a body whose media type is multipart/form-data, as HTML forms and the usual client libraries do, and
// with a length. Each must reach the replica with the same body. Without the disruption the same bodies have another media type.
func formBody(w *world) (breaches []string) {
	w.startStore(config(route("puxa403", "unsafe", "tagdesk-app", 1, 800*time.Millisecond, 150*time.Millisecond)))
	var mu sync.Mutex
	got := make(map[string][]byte)
	for n := range 3 {
		w.startReplica(n, "tagdesk-app", 6, func(v *replica, c net.Conn, q *request) {
			mu.Lock()
			got[q.id] = q.body
			mu.Unlock()
			w.log("replica %s runs %s %s %s, body %q", v.id, q.id, q.Method, q.URL.Path, q.body)
			v.whole(c, q, "tag issued for "+q.id, "")
		})
	}
	w.startVMs(3)
	for n := range formRequests {
		const boundary = "----WebKitFormBoundary7MA4YWxkTrZu0gW"
		media := "application/octet-stream"
		if w.trouble {
			media = "multipart/form-data; boundary=" + boundary
		}
		body := form(boundary, n)
		vm := w.vms[n%len(w.vms)]
		r := w.send(call{
			vm: vm, method: "POST", path: fmt.Sprintf("/puxa403/%x", n), key: clientKey, body: body, deadline: 1500 * time.Millisecond,
			headers: []string{"Content-Type: " + media},
		})
		w.log("client sent %s to %s, %s, body %q: %s", r.requestID, vm.name, media, body, r)
		mu.Lock()
		ran, ok := got[r.requestID]
		mu.Unlock()
		if ok && string(ran) != body {
			breaches = append(breaches, fmt.Sprintf("a replica ran %s with another body: %d bytes were sent, %d arrived", r.requestID, len(body), len(ran)))
		}
	}
	return breaches
}

// form returns a form with a file and two fields, as a client sends it.
func form(boundary string, n int) string {
	part := func(headers, value string) string {
		return "--" + boundary + "\r\n" + headers + "\r\n\r\n" + value + "\r\n"
	}
	var b strings.Builder
	b.WriteString(part("Content-Disposition: form-data; name=\"photo\"; filename=\"pram.txt\"\r\nContent-Type: text/plain", fmt.Sprint("pram ", n)))
	b.WriteString(part("Content-Disposition: form-data; name=\"owner\"\r\nContent-Type: application/json", fmt.Sprintf(`{"claim": %d}`, n)))
	b.WriteString(part("Content-Disposition: form-data; name=\"gate\"", "north"))
	b.WriteString("--" + boundary + "--\r\n")
	return b.String()
}
