package model

import "mossproxy.example/mossproxy/decide"

// What is something that happens in a history.
type What uint8

// What happens.
const (
	Asked    What = iota // a client wants something
	Taken                // a router has taken a try of it
	Sent                 // the router sends an attempt
	Reached              // it has come to its server
	Ran                  // its effect happens there
	Ended                // the router has its outcome
	Answered             // the router gives the try its final answer
	Told                 // a router is told that a server drains or is gone
	Listed               // or that it is there
	Fell                 // a cold server was pushed over
	Stopped              // the origin was
	Faulted              // a fault begins
	Mended               // and ends
	Down                 // a router's process has ended, and owes nothing any more
	Neared               // a cold server, or the origin, has spent more of its budget than ever
)

var whats = [...]string{"asked", "taken", "sent", "reached", "ran", "ended", "answered", "told", "listed", "fell", "stopped", "fault", "mended", "down", "neared"}

// String is the word for it.
func (w What) String() string { return whats[w] }

// Result is the kind of a final answer.
type Result uint8

// The kinds.
const (
	None Result = iota
	Served
	Refused
	Failed
	Lost // none came
)

var results = [...]string{"none", "served", "refused", "failed", "lost"}

// String is the word for it.
func (r Result) String() string { return results[r] }

// Record is one event of a history. Router and Server are numbers from 0 on, -1 = none; the origin's is that of the servers.
type Record struct {
	At      float64
	What    What
	Request int
	Router  int
	Server  int
	Attempt int
	Status  decide.Status
	Result  Result
	Class   int     // Asked
	Until   float64 // Taken: until when the answer must be given
	Spent   float64 // Neared: part of the budget, by those who are to blame if it is spent
	Cold    bool    // Neared: that of a cold server
	Blame   bool    // Fell: by routers that knew of its start; Stopped: by what servers lacked that are cold
}

// Observer is told of each event of a history, in order.
type Observer interface{ See(Record) }
