package main

// settings returns the settings of a small deployment with one kind of cache server and an origin.
func settings(discovery string, deadline float64) object {
	return object{
		"balancers": 1, "myNumber": 0, "zone": "a", "zones": []string{"a"}, "tier": 0, "tiers": []string{"cache-fleet"},
		"categories": []object{
			{"name": "read-status", "effect": "repeatable", "keyScope": "all", "window": 5000, "target": 600, "hardLimit": deadline, "gain": 5, "lateWorth": 0, "stream": false},
			{"name": "log-handover", "effect": "by_key", "keyScope": "all", "window": 2000, "target": 600, "hardLimit": 1200, "gain": 10, "lateWorth": 0, "stream": false},
			{"name": "order-poll", "effect": "once", "keyScope": "all", "window": 5000, "target": 1000, "hardLimit": deadline, "gain": 2, "lateWorth": 0, "stream": false},
		},
		"projects": []object{{"name": "acme", "portion": 1, "quotaPerS": 1000}}, "overShareWorth": 0.05, "countedBy": "request",
		"kinds": []string{"box", "origin"}, "family": "cache", "familyInfo": object{"mode": "aside", "originKind": 1},
		"discovery": discovery, "weights": "nominal", "loadInfo": object{"columns": []string{"rps", "cpu"}, "how": "answers"},
		"caps": object{"cancel": true, "mayProbe": false, "retryAfter": true, "secondCopies": false, "peers": false, "maxAttempts": 5,
			"maxRetryAfter": 1200, "connIdle": 10000, "connectTimeout": 250, "streamsPerConn": 100, "openCap": 25000},
		"rules": object{"cold": 8100, "coldFrom": 0.3, "drainGrace": 500, "graceToAnswer": 20, "mustAskIn": 10000, "overloadFactor": 2.5, "overloadFor": 3000},
	}
}
