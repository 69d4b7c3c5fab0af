package review

import "time"

const clientKey = "n2ctnfzs989anu6wsjnb"

// route returns a route of the configuration.
func route(name, kind, service string, attempts int, timeout, objective time.Duration) map[string]any {
	return map[string]any{
		"Name": "r-" + name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": objective.Milliseconds(), "Priority": 1, "MaxAttempts": attempts, "Service": service, "Public": false,
		"Sticky": false, "Resumable": false, "GapAimMs": 1500,
	}
}

// resumable makes a route one of streams that may be resumed, of requests that share parts of their prompts.
func resumable(r map[string]any) map[string]any {
	r["Resumable"], r["Sticky"] = true, true
	return r
}

// sizes gives a route the models that the router chooses from.
func sizes(r map[string]any) map[string]any {
	r["Sizes"] = []string{"daka510000", "ravo486f6a"}
	return r
}

// config returns a configuration with routes, one tenant, an engine service and a plain one.
func config(routes ...map[string]any) map[string]any {
	return map[string]any{
		"Version": 7, "Routes": routes,
		"Services": []any{
			map[string]any{
				"Name": "wordsmith", "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": 64, "KvCapacityTokens": 484562, "KvTokenBytes": 163840, "LinkMbps": 740000.0, "Moves": true, "Backups": true,
					"Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
					"Models": []any{
						map[string]any{"Name": "daka510000", "Cost": 0.021}, map[string]any{"Name": "ravo486f6a", "Cost": 0.31},
					},
				},
			},
			map[string]any{"Name": "tagdesk-app", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{clientKey, "anfqasnmgkcuyj8pjbvk"}, "Priority": 1}},
	}
}
