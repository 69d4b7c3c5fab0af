package standin

import (
	"fmt"
	"time"
)

// The configuration that the cases use: a tag desk, whose requests run at most once or are safe, and models that write streams.
const (
	host        = "desk.example"
	serviceDesk = "tagdesk-app"
	serviceLLM  = "wordsmith"
	tenant      = "venue"
	key         = "k-venue-1"
)

type m = map[string]any

// routes returns the routes, with the figures of the sheet.
func routes() []m {
	return []m{
		{"Name": "issue", "Host": host, "PathPrefix": "/issue/", "Kind": "unsafe", "TimeoutMs": 800, "TargetLatencyMs": 150, "Priority": 2, "Service": serviceDesk, "MaxAttempts": 1},
		{"Name": "lookup", "Host": host, "PathPrefix": "/lookup/", "Kind": "safe", "TimeoutMs": 800, "TargetLatencyMs": 150, "Priority": 2, "Service": serviceDesk, "MaxAttempts": 2},
		{"Name": "rules", "Host": host, "PathPrefix": "/rules/", "Kind": "streaming", "TimeoutMs": 20000, "TargetLatencyMs": 2000, "GapAimMs": 1500, "Priority": 0, "Service": serviceLLM, "MaxAttempts": 3, "Sticky": true, "Resumable": true},
		{"Name": "sized", "Host": host, "PathPrefix": "/sized/", "Kind": "streaming", "TimeoutMs": 20000, "TargetLatencyMs": 2000, "GapAimMs": 1500, "Priority": 0, "Service": serviceLLM, "MaxAttempts": 3, "Sticky": true, "Resumable": true, "Sizes": []string{"small", "middle", "large"}},
	}
}

// config returns a configuration of a version.
func config(version int, rs []m) m {
	return m{
		"Version": version, "Routes": rs,
		"Services": []m{
			{"Name": serviceDesk, "HealthPath": "/health", "MaxConns": 110},
			{"Name": serviceLLM, "HealthPath": "/health", "MaxConns": 370, "Engine": m{"Slots": 64, "KvCapacityTokens": 484562, "Models": []m{
				{"Name": "small", "Cost": 0.021}, {"Name": "middle", "Cost": 0.16}, {"Name": "large", "Cost": 0.31},
			}}},
		},
		"Tenants": []m{{"Name": tenant, "ApiKeys": []string{key}}},
		"Limits":  m{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}

// publicRoute returns a route whose requests need no key.
func publicRoute() m {
	return m{
		"Name": "open", "Host": host, "PathPrefix": "/open/", "Kind": "safe", "TimeoutMs": 800, "TargetLatencyMs": 150, "Priority": 2,
		"Service": serviceDesk, "MaxAttempts": 2, "Public": true,
	}
}

// models are the models of the route with Sizes.
var models = []string{"small", "middle", "large"}

// zones are the zones of the deployment.
var zones = []string{"mobile-a", "biloxi-b", "pensacola-c"}

// startFleet starts a number of machines, one in each zone in turn.
func (r *run) startFleet(s *store, n int) ([]*daemon, error) {
	var out []*daemon
	for i := range n {
		d, err := r.start(machine{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("127.0.0.%d", i+2), store: s.addr})
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	time.Sleep(time.Second) // the machines have found each other by then
	return out, nil
}

// prompt returns a request to a model with two parts that many requests share, and one of its own.
func prompt(target, own, body string) call {
	return call{
		id: newID(), method: "POST", host: host, target: target, key: key, deadline: 20 * time.Second, body: []byte(body),
		headers: map[string]string{"Model": "middle", "Token-Counts": "600,80", "Prompt-Prefix": "5c1e07a2:400,91bd3f06:180," + own + ":20"},
	}
}
