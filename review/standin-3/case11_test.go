package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["11"] = play11 }

// play11: streams that end with their connection, and the process of one of four replicas is killed in their middle.
func play11(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, routes()))
	var replicas []*replicaProcess
	for i := range 4 {
		p, err := r.startReplicaProcess(s, fmt.Sprintf("i-%d", i+1), serviceLLM, zones[i%3], 64)
		if err != nil {
			return err
		}
		replicas = append(replicas, p)
	}
	machines, err := r.startFleet(s, 3)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := prompt("/rules/2f", "own-"+newID(), fmt.Sprint("draft ", i))
			q.headers["Model"] = "middle"
			got := send(client(machines[i%3].front), q)
			pieces := strings.Count(got.body, "data: piece ")
			r.note("request %s: client gets %v, pieces %d of %d, ended as complete: %v", q.id, got, pieces, streamPieces, got.whole)
			if got.status != 200 || !got.whole {
				return
			}
			want := ""
			for n := 1; n <= streamPieces; n++ {
				want += fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, streamPieces)
			}
			if got.body != want {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("%s after %d pieces", q.id, pieces))
				mu.Unlock()
			}
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	if r.trouble {
		r.note("replica %s is killed", replicas[0].id)
		replicas[0].kill()
		time.AfterFunc(3600*time.Millisecond, func() { s.remove("servers", replicas[0].id) }) // after three heartbeat intervals
	}
	wg.Wait()
	if len(broken) > 0 {
		return fmt.Errorf("%w: ORDER, %d streams ended as complete before their last piece: %s", errBroken, len(broken), strings.Join(broken, ", "))
	}
	return nil
}
