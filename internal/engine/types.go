package engine

import (
	"context"
	"io"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// Request is what a front hands over: one request of a client, in nobody's protocol.
type Request struct {
	ID     string // the client's; no two of the same are open at once
	Class  string
	Tenant string
	Of     uint32 // the generation of the tenant that asks; 0 = nobody has asked who calls
	Key    string
	Facts  string // what the client said of the request, as it is passed on
	Value  []byte // of a write
	Held   int    // bytes that were taken from Held for it, given back when it is over
	Wait   float64
	Hint   float64 // expected work, ms; 0 = unknown
	Size   float64 // bytes; 0 = unknown
	Retry  bool
	Write  bool
	Owners []uint32 // the servers that may serve it, the first one at home; nil = any
	Words  [][]byte // the command itself, where the fields above don't say it; never changed
	Stores bool     // no client's: see Store
}

// Try is one attempt, as a backend needs to know it. It is valid for the write that follows the Begin that gave it.
type Try struct {
	Left   float64   // ms: the deadline that the server is passed, at most what the client has left
	By     time.Time // when the last byte has to be written at the latest: from then on Left exceeds what the client has left
	Asking bool      // the server has the request by leave of another: it would else send it on
}

// Result is the kind of a final answer.
type Result int

// The final answers.
const (
	Served  Result = iota
	Refused        // trying again is harmless
	Failed         // no promise
	Doubled        // not taken: a request with its id is open
	Gone           // the client has left: nobody waits
)

// Answer is the final answer to a request.
type Answer struct {
	Result
	Body    []byte  // Served
	Content any     // Served: the answer in a backend's own terms, where Body does not say it
	Absent  bool    // Served: there is no value
	Long    Long    // Served: the value, instead of Body; the front tells by Passed how it ended
	Wait    float64 // Refused: ms after which to come again; 0 = not told
}

// Long is a value that is too long to be held: it passes from its server to its client in pieces, at the pace of the slower of both. One of
// its methods is called, once, by whoever has it last.
type Long interface {
	Len() int
	// Pass writes the value. It blocks, and an error says that not all of it could be written.
	Pass(to io.Writer) error
	// Drop lets it go: nobody takes it.
	Drop()
}

// Ticket is a request's place at its front. Its Answer is called once, on the engine's goroutine, and does not block.
type Ticket struct {
	Answer func(*Request, Answer)
	Client Client   // nil = nobody waits who could leave
	req    *request // the engine's
}

// Client is who waits for an answer.
type Client interface {
	// Gone says whether the client has closed. It may be called from any goroutine, and does not block.
	Gone() bool
}

// Reply is what came back for an attempt.
type Reply struct {
	Status  decide.Status
	Body    []byte // OK: the value or the receipt
	Note    int    // 1 hit, 2 miss, 3 miss while another fetch of the key is out, 4 the origin has no value
	Absent  bool   // OK: there is no value
	Load    decide.Load
	Content any    // OK: the answer in the backend's own terms, where Body does not say it
	Long    Long   // OK: the value, instead of Body
	Follows int    // a protocol's: so many bytes of a value follow that it has not read,
	Tail    string // and this behind them

	Owners  []uint32 // the server sent the request on: who may serve it from now on; nil = as before
	Asking  bool     // for one attempt alone, by leave: its slot has not moved yet
	Refused bool     // the connection was refused: no process listens
}

// ran says whether a server has answered, whatever that was.
func (r *Reply) ran() bool {
	return r.Status == decide.OK || r.Status == decide.Miss || r.Status == decide.Failed || r.Status == decide.QueueFull
}

// Backend knows the ways to servers.
type Backend interface {
	Link(s Server) Link // a way to a server; it is not connected yet
}

// Link is the way to one server at one address. Its methods may be called from any goroutine.
type Link interface {
	// Attempt begins to make a request there once, never twice, and does not block. It says how that ended where it is known at
	// once, with true; else the caller's Done is told, from another goroutine. stop gives the attempt up by closing its connection.
	Attempt(stop *Stop, r *Request, caller Caller) (Reply, bool)
	Probe(ctx context.Context) (decide.Status, decide.Load)
	CloseIdle()
	Remove() // no further attempt comes; those that are out end as they may
}

// Caller is who an attempt is made for.
type Caller interface {
	// Begin is asked once, just before the command is made and its first byte written, and does not block. What an attempt
	// depends on may have changed while a connection was opened: false calls it off, and nothing is written.
	Begin() (Try, bool)
	Written()   // told once the last byte is written; it does not block
	Done(Reply) // told once how the attempt ended, where Attempt has not said so; it may wait a moment
}

// Server is one server on a list.
type Server struct {
	decide.Entry
	Addr string
}

// Store keeps values that the origin has given, where the router does that by itself. Its methods run on the engine's
// goroutine and don't block.
type Store interface {
	// Arrived tells of each request that is taken, and Over that it has its final answer.
	Arrived(q *Request)
	Over(q *Request)
	// Fetched makes the request that stores a value which the origin has given for q; nil = it is not kept.
	Fetched(q *Request, value []byte) *Request
}

// Tenants counts what tenants use, and says where requests stand with their limits. Its methods run on the engine's goroutine and
// don't block.
type Tenants interface {
	// Arrived tells of each request of a client that is taken, at a time in ms, of a router that has a part of all traffic. With Beyond
	// it is not counted, and Over is not told of it.
	Arrived(now, portion float64, q *Request) (s decide.QuotaStatus, again float64)
	Over(now float64, q *Request) // has its final answer
	// Fetches tells that a request which was counted goes to the origin, each time.
	Fetches(now float64, q *Request)
	// Owes books the bytes of an answer to a request that its client has not taken yet, and says to whom they are booked; Paid gives them
	// back, from any goroutine.
	Owes(q *Request, bytes int) (party string)
	Paid(party string, bytes int)
}
