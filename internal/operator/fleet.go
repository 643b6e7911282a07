package operator

import (
	"context"
	"encoding/json"
	"net/http"
)

// FleetView is what a router knows of the fleet, as it is told at /control/fleet.
type FleetView struct {
	Name             string         `json:"name"`
	Digest           string         `json:"digest"` // equal digests are equal views
	SettledS         float64        `json:"settled_s"`
	FailureSuspicion int            `json:"doubt"` // of the router in itself: 0 none, 8 the most
	ResourceShare    ResourceShare  `json:"part"`
	Members          []Member       `json:"members"`
	Admissions       []Admission    `json:"lines,omitempty"` // of its pools
	Gossip           GossipCounters `json:"figures"`
}

// Member is a router of the fleet.
type Member struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	Site       string `json:"site"`
	State      string `json:"state"`
	SinceMS    int64  `json:"since_ms"`
	ReportedBy string `json:"by"` // whose word it is; "" = its own
	Start      uint64 `json:"start,string"`
	Counted    bool   `json:"counted"` // among those that common goods are divided by
}

// ResourceShare is what the router may use of common goods: one of Of equal parts, and one of Then when RemainingMS are over. Of 0 is none.
type ResourceShare struct {
	Divisor     float64 `json:"of"`
	RemainingMS int64   `json:"left_ms"` // -1 = it does not end by itself
	NextDivisor float64 `json:"then"`

	Effective   float64 `json:"share"`    // of the whole, which it may use now: that part with what it has borrowed, without what it has lent
	LeasedIn    float64 `json:"borrowed"` // as a share of the whole
	LeasedOut   float64 `json:"lent"`
	RequestRate float64 `json:"rate"` // requests a second here, by which parts are lent
}

// Admission is what a pool serves while the fleet can't serve all, and what it follows from: requests of mean work a second, in the mean over the
// routers.
type Admission struct {
	Pool               string       `json:"pool"`
	Worth              float64      `json:"worth"`  // of the highest: what is worth less is refused; 0 = all is served
	ThresholdShare     float64      `json:"share"`  // that is served of what is worth about that
	AdmittedShare      float64      `json:"open"`   // share of all that is served
	Arrivals           float64      `json:"asked"`  // that clients ask for, for the first time
	Capacity           float64      `json:"room"`   // that servers have
	LocalArrivals      float64      `json:"here"`   // that is asked for at this router
	AttemptsPerRequest float64      `json:"cost"`   // attempts that a request takes
	ByWorth            []WorthStats `json:"worths"` // at this router
	Rejected           float64      `json:"turned"` // refused here though it is over the line: no server or no fetch was to be had in time
}

// WorthStats is what came of one worth in the last second.
type WorthStats struct {
	Worth    float64 `json:"worth"` // of the highest: that and more, up to the one before
	Arrivals float64 `json:"asked"`
	Shed     float64 `json:"shed"` // refused as it is under the line
}

// GossipCounters counts what the view costs.
type GossipCounters struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Refused       uint64 `json:"refused"`
	Dropped       uint64 `json:"dropped"`
	Changes       uint64 `json:"changes"`
}

// handleFleet answers with the view.
func handleFleet(view func(context.Context) (FleetView, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		ctx, stop := context.WithTimeout(q.Context(), handlerTimeout)
		defer stop()
		v, err := view(ctx)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller has left
	}
}
