package operator

import (
	"context"
	"encoding/json"
	"net/http"
)

// FleetView is a router's view of the fleet, as reported at /control/fleet.
type FleetView struct {
	Name             string         `json:"name"`
	Digest           string         `json:"digest"`    // equal digests mean equal views
	SettledS         float64        `json:"settled_s"` // seconds since the last change of the view
	FailureSuspicion int            `json:"doubt"`     // the router's local health score: 0 = healthy, 8 = the maximum suspicion
	ResourceShare    ResourceShare  `json:"part"`
	Members          []Member       `json:"members"`
	Admissions       []Admission    `json:"lines,omitempty"` // of the router's pools
	Gossip           GossipCounters `json:"figures"`
}

// Member is a router of the fleet, as another router sees it.
type Member struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	Site       string `json:"site"`
	State      string `json:"state"`
	SinceMS    int64  `json:"since_ms"` // time in this state, in ms
	ReportedBy string `json:"by"`       // the router that reported the state; "" = the member itself
	Start      uint64 `json:"start,string"`
	Counted    bool   `json:"counted"` // whether shared resources are divided by it, too
}

// ResourceShare is the share of the fleet's common resources that the router may use: 1/Divisor, and
// 1/NextDivisor once RemainingMS have passed. A Divisor of 0 means no share.
type ResourceShare struct {
	Divisor     float64 `json:"of"`
	RemainingMS int64   `json:"left_ms"` // ms; -1 = no expiry
	NextDivisor float64 `json:"then"`

	Effective   float64 `json:"share"`    // usable now, as a fraction of the whole: own share + LeasedIn - LeasedOut
	LeasedIn    float64 `json:"borrowed"` // as a fraction of the whole
	LeasedOut   float64 `json:"lent"`     // as a fraction of the whole
	RequestRate float64 `json:"rate"`     // requests per second at this router; leases are sized by it
}

// Admission is the admission threshold of a pool, which applies while the fleet can't serve all requests,
// and the values it is derived from. Rates are in requests of mean work per second, averaged over the
// routers unless a field says otherwise.
type Admission struct {
	Pool               string       `json:"pool"`
	Worth              float64      `json:"worth"`  // threshold, as a fraction of the highest worth: requests below it are shed; 0 = all are served
	ThresholdShare     float64      `json:"share"`  // share admitted of the requests whose worth is about the threshold
	AdmittedShare      float64      `json:"open"`   // share admitted of all requests
	Arrivals           float64      `json:"asked"`  // rate of requests from clients, without retries
	Capacity           float64      `json:"room"`   // rate that the servers can serve
	LocalArrivals      float64      `json:"here"`   // arrivals at this router alone
	AttemptsPerRequest float64      `json:"cost"`   // mean number of attempts per request
	ByWorth            []WorthStats `json:"worths"` // arrivals and sheds at this router, by worth
	Rejected           float64      `json:"turned"` // rejected at this router though above the threshold: no server or fetch was available in time
}

// WorthStats counts the requests of one band of worth at this router in the last second.
type WorthStats struct {
	Worth    float64 `json:"worth"` // lower bound of the band, as a fraction of the highest worth; its upper bound is that of the band above
	Arrivals float64 `json:"asked"` // requests that arrived
	Shed     float64 `json:"shed"`  // requests refused because they are below the admission threshold
}

// GossipCounters holds totals of the messages that maintain the view, since the router's start.
type GossipCounters struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Refused       uint64 `json:"refused"` // messages rejected
	Dropped       uint64 `json:"dropped"` // work dropped at a limit or by a failed exchange
	Changes       uint64 `json:"changes"` // member state changes
}

// handleFleet returns a handler that responds with the view as JSON.
func handleFleet(view func(context.Context) (FleetView, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, stop := context.WithTimeout(req.Context(), handlerTimeout)
		defer stop()
		v, err := view(ctx)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v) //nolint:errcheck // fails only if the client has disconnected
	}
}
