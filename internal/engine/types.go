package engine

import (
	"context"
	"io"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// Request is what a front hands over: one request of a client, in nobody's protocol.
type Request struct {
	ID               string // the client's; no two of the same are open at once
	Class            string
	Tenant           string
	TenantGeneration uint32 // the generation of the tenant that asks; 0 = nobody has asked who calls
	Key              string
	Facts            string // what the client said of the request, as it is passed on
	Value            []byte // of a write
	HeldBytes        int    // bytes that were taken from Held for it, given back when it is over
	Wait             float64
	Hint             float64 // expected work, ms; 0 = unknown
	Size             float64 // bytes; 0 = unknown
	Retry            bool
	Write            bool
	Owners           []uint32 // the servers that may serve it, the first one at home; nil = any
	Args             [][]byte // the command itself, where the fields above don't say it; never changed
	CacheFill        bool     // no client's: see Store
}

// Try is one attempt, as a backend needs to know it. It is valid for the write that follows the Begin that gave it.
type Try struct {
	DeadlineMS float64   // ms: the deadline that the server is passed, at most what the client has left
	WriteBy    time.Time // when the last byte has to be written at the latest: from then on Left exceeds what the client has left
	Asking     bool      // the server has the request by leave of another: it would else send it on
}

// Result is the kind of a final answer.
type Result int

// The final answers.
const (
	Served     Result = iota
	Refused           // trying again is harmless
	Failed            // no promise
	Duplicate         // not taken: a request with its id is open
	ClientGone        // the client has left: nobody waits
)

// OnAnswer is the final answer to a request.
type Answer struct {
	Result
	Body       []byte        // Served
	Content    any           // Served: the answer in a backend's own terms, where Body does not say it
	Absent     bool          // Served: there is no value
	Streamed   StreamedValue // Served: the value, instead of Body; the front tells by Passed how it ended
	RetryAfter float64       // Refused: ms after which to come again; 0 = not told
}

// Streamed is a value that is too long to be held: it passes from its server to its client in pieces, at the pace of the slower of both. One of
// its methods is called, once, by whoever has it last.
type StreamedValue interface {
	Len() int
	// Stream writes the value. It blocks, and an error says that not all of it could be written.
	Stream(to io.Writer) error
	// Discard lets it go: nobody takes it.
	Discard()
}

// RequestHandle is a request's place at its front. Its Answer is called once, on the engine's goroutine, and does not block.
type RequestHandle struct {
	OnAnswer func(*Request, Answer)
	Client   Client   // nil = nobody waits who could leave
	request  *request // the engine's
}

// Client is who waits for an answer.
type Client interface {
	// Closed says whether the client has closed. It may be called from any goroutine, and does not block.
	Closed() bool
}

// Reply is what came back for an attempt.
type Reply struct {
	Status      decide.Status
	Body        []byte // OK: the value or the receipt
	CacheResult int    // 1 hit, 2 miss, 3 miss while another fetch of the key is out, 4 the origin has no value
	Absent      bool   // OK: there is no value
	Load        decide.Load
	Content     any           // OK: the answer in the backend's own terms, where Body does not say it
	Streamed    StreamedValue // OK: the value, instead of Body
	UnreadBytes int           // a protocol's: so many bytes of a value follow that it has not read,
	Trailer     string        // and this behind them

	Owners      []uint32 // the server sent the request on: who may serve it from now on; nil = as before
	Asking      bool     // for one attempt alone, by leave: its slot has not moved yet
	ConnRefused bool     // the connection was refused: no process listens
}

// maybeRan says whether a server has answered, whatever that was.
func (r *Reply) serverAnswered() bool {
	return r.Status == decide.OK || r.Status == decide.Miss || r.Status == decide.Failed || r.Status == decide.QueueFull
}

// Backend knows the ways to servers.
type Backend interface {
	Endpoint(s Server) Endpoint // a way to a server; it is not connected yet
}

// Endpoint is the way to one server at one address. Its methods may be called from any goroutine.
type Endpoint interface {
	// Attempt begins to make a request there once, never twice, and does not block. It says how that ended where it is known at
	// once, with true; else the caller's Done is told, from another goroutine. stop gives the attempt up by closing its connection.
	Attempt(stop *Canceler, r *Request, caller AttemptHandler) (Reply, bool)
	Probe(ctx context.Context) (decide.Status, decide.Load)
	CloseIdle()
	Remove() // no further attempt comes; those that are out end as they may
}

// AttemptHandler is who an attempt is made for.
type AttemptHandler interface {
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
	Finished(q *Request)
	// FillRequest makes the request that stores a value which the origin has given for q; nil = it is not kept.
	FillRequest(q *Request, value []byte) *Request
}

// TenantLimiter counts what tenants use, and says where requests stand with their limits. Its methods run on the engine's goroutine and
// don't block.
type TenantLimiter interface {
	// Arrived tells of each request of a client that is taken, at a time in ms, of a router that has a part of all traffic. With Beyond
	// it is not counted, and Over is not told of it.
	Arrived(now, portion float64, q *Request) (s decide.QuotaStatus, again float64)
	Finished(now float64, q *Request) // has its final answer
	// FetchStarted tells that a request which was counted goes to the origin, each time.
	FetchStarted(now float64, q *Request)
	// ReserveAnswer books the bytes of an answer to a request that its client has not taken yet, and says to whom they are booked; Paid gives them
	// back, from any goroutine.
	ReserveAnswer(q *Request, bytes int) (party string)
	ReleaseAnswer(party string, bytes int)
}
