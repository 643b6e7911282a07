package engine

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// Request is one client request in protocol-independent form, as a front submits it to the engine.
type Request struct {
	ID               string // chosen by the client; unique among the open requests
	Class            string
	Tenant           string
	TenantGeneration uint32 // generation of the authenticated tenant; 0 = the caller was not authenticated
	Key              string
	Facts            string // what the client said about the request, passed on unchanged
	Value            []byte // of a write
	HeldBytes        int    // bytes reserved in Engine.HeldBytes for this request, released with its record
	// Wait is how long the client waits for the answer, in ms.
	Wait   float64
	Hint   float64 // expected work in ms; 0 = unknown
	Size   float64 // bytes; 0 = unknown
	Retry  bool
	Write  bool
	Owners []uint32 // servers that may serve the request, the home server first; nil = any
	// The command with its arguments, where the fields above don't describe it; read-only.
	Args      [][]byte
	CacheFill bool // made by the router itself to store a fetched value, see Store
	// A later request may have the same ID once this one is answered. Otherwise one that comes again is the same.
	ReusableID bool

	// Set by Submit, for backends.
	Serial     uint64 // unique in this process; never 0 for a submitted request
	Repeatable bool   // the class may be repeated freely
}

// Try describes one attempt to a backend. It is valid only for the write that follows its Begin.
type Try struct {
	DeadlineMS float64 // deadline in ms that is passed to the server, at most what the client has left
	// Latest time for writing the last byte: after that, DeadlineMS exceeds what the client has left.
	WriteBy time.Time
	// When the command must have arrived whole, as the server may have forgotten an earlier attempt later and would run
	// it again; zero = no limit.
	ArriveBy time.Time
	// When the client stops waiting: an answer that is whole later is of no use.
	AnswerBy time.Time
	// The slot is being migrated: the server takes the request only with ASKING, else it redirects it.
	Asking bool
}

// Result is the kind of a final answer.
type Result int

// Results of requests.
const (
	Served     Result = iota
	Refused           // a retry is harmless
	Failed            // no promise: the request may have run
	Duplicate         // rejected: a request with the same ID is open
	ClientGone        // the client has disconnected, so nobody waits for the answer
)

// Answer is the final answer to a request.
type Answer struct {
	Result
	Body    []byte // Served: the value
	Content any    // Served: the answer in the backend's own representation, where Body can't express it
	Absent  bool   // Served: the key has no value
	// Served: the value, instead of Body; the front reports its end with Engine.StreamEnded.
	Streamed   StreamedValue
	RetryAfter float64 // Refused: ms after which the client should retry; 0 = unspecified
	NeverSent  bool    // no attempt was made
}

// StreamedValue is a value that is too large to be buffered. It is copied from its server to its client in
// pieces, at the pace of the slower of the two. The last holder calls either Stream or Discard, once.
type StreamedValue interface {
	// Len returns the size of the value in bytes.
	Len() int
	// Stream writes the value to a writer. It blocks, and returns an error if the value could not be written
	// completely.
	Stream(to io.Writer) error
	// Discard releases the value without reading it.
	Discard()
}

// RequestHandle is a front's handle of a request. Its OnAnswer is called once, on the engine's goroutine, and
// must not block.
type RequestHandle struct {
	OnAnswer func(*Request, Answer)
	Client   Client // nil = no client that could disconnect
	// Time by which the answer is needed so that the client receives it, in ms of the engine's clock; 0 = no limit.
	// A request without any time left is rejected.
	AnswerBy float64
	request  *request // owned by the engine
}

// Client is the client that waits for an answer.
type Client interface {
	// Closed reports whether the client has closed its connection. It may be called from any goroutine and
	// does not block.
	Closed() bool
}

// Reply is the result of an attempt.
type Reply struct {
	Status decide.Status
	Body   []byte // OK: the value or the receipt
	// 1 hit, 2 miss, 3 miss while another fetch of the key is in flight, 4 the origin has no value
	CacheResult int
	Absent      bool // OK: the key has no value
	Load        decide.Load
	Content     any           // OK: the answer in the backend's own form, where Body can't express it
	Streamed    StreamedValue // OK: the value, instead of Body
	// Set by a protocol parser: number of bytes of the value that follow and are not read yet.
	UnreadBytes int
	Trailer     string // set by a protocol parser: the bytes that follow the value

	// The server redirected the request: servers that may serve it from now on; nil = unchanged.
	Owners []uint32
	// The redirect holds for one attempt only, with ASKING, because the slot has not moved yet.
	Asking      bool
	ConnRefused bool // the connection was refused: no process listens at the address
	// The answer names no request, and its connection is still open; nil = neither.
	Held HeldConnection
}

// Reuse tells whether the connection of an answer may be used again. A copy of the answer may still arrive,
// and must not be taken for the answer to the next command.
type Reuse int

// Whether a connection may be used again.
const (
	NoReuse       Reuse = iota // the connection ends with this answer
	Identified                 // the answer names its request, or a barrier proves it: a copy is recognized
	UnnamedError               // a copy could pass for another error line, but never for a value
	UnnamedAnswer              // a copy could pass for any other answer
)

// HeldConnection is a connection on which the server may still be working on an attempt, although it seems to
// have answered. Canceling the attempt closes it. The engine calls Release once in any case.
type HeldConnection interface {
	// Release gives the connection back, unless it was closed.
	Release()
}

// Link tracks whether a server may still be working on an attempt over an open connection. The backend keeps
// it by what happens on the socket, so that it does not depend on what the engine believes to be in flight.
// It may be used from any goroutine; the zero value is not open.
type Link struct{ open atomic.Bool }

// Open marks that the first byte of the command is about to be written.
func (l *Link) Open() { l.open.Store(true) }

// Finish marks that an answer that names the request was read, or that the connection was closed.
func (l *Link) Finish() { l.open.Store(false) }

// IsOpen reports whether the server may still be working on the attempt.
func (l *Link) IsOpen() bool { return l.open.Load() }

// serverAnswered reports whether the server has answered at all, with whatever status.
func (r *Reply) serverAnswered() bool {
	return r.Status == decide.OK || r.Status == decide.Miss || r.Status == decide.Failed || r.Status == decide.QueueFull
}

// Backend creates the endpoints through which servers are reached.
type Backend interface {
	// Endpoint returns an endpoint of a server, not connected yet.
	Endpoint(s Server) Endpoint
}

// Endpoint reaches one server at one address. Its methods may be called from any goroutine.
type Endpoint interface {
	// Attempt starts one attempt of a request, never two, and does not block. It returns the reply and true
	// if the result is known at once; otherwise it calls Done of the handler later, from another goroutine.
	// canceler aborts the attempt by closing its connection.
	Attempt(canceler *Canceler, r *Request, handler AttemptHandler) (Reply, bool)
	// Probe asks the server for its load and blocks until it answers or ctx ends.
	Probe(ctx context.Context) (decide.Status, decide.Load)
	// CloseIdle closes the idle connections.
	CloseIdle()
	Remove() // no further attempt follows; those in flight run to their end
}

// AttemptHandler receives the events of an attempt.
type AttemptHandler interface {
	// Begin is called once, just before the command is built and its first byte is written, and does not
	// block. The conditions of an attempt may have changed while its connection was opened: false cancels the
	// attempt, and nothing may be written.
	Begin() (Try, bool)
	Link() *Link // where the backend keeps whether the attempt may be in progress; nil = nowhere
	Written()    // called once after the last byte is written; does not block
	// AnswerBegun is called at most once, when the head of the answer is there and the rest has to be waited
	// for. It does not block.
	AnswerBegun()
	// AnswerProgress is called after AnswerBegun, each time that more of the answer has come. It does not block.
	AnswerProgress()
	Done(Reply) // called once with the result, unless Attempt has returned it; may block briefly
}

// Server is one server of a server list.
type Server struct {
	decide.Entry
	Addr string
}

// Store stores values that were fetched from the origin, if the router does that itself. Its methods run on
// the engine's goroutine and must not block.
type Store interface {
	// Arrived is called for each accepted request, and Finished when it has its final answer.
	Arrived(q *Request)
	Finished(q *Request)
	// FillRequest returns the request that stores a value fetched from the origin for q, or nil if the value
	// is not to be stored.
	FillRequest(q *Request, value []byte) *Request
}

// TenantLimiter tracks what tenants use and classifies their requests by their limits. Its methods must not
// block. They run on the engine's goroutine, except ReleaseAnswer.
type TenantLimiter interface {
	// Arrived is called for each accepted client request with the time in ms and this router's share of all
	// traffic. It returns the standing of the request and the ms after which a retry would have a better
	// standing, 0 = unknown. A request that is decide.QuotaDenied is not counted, and Finished is not called
	// for it.
	Arrived(now, share float64, q *Request) (standing decide.QuotaStatus, retryAfter float64)
	Finished(now float64, q *Request) // called when q has its final answer
	// FetchStarted is called for each attempt at the origin that a counted request causes.
	FetchStarted(now float64, q *Request)
	// ReserveAnswer charges the bytes of an answer that the client has not taken yet, and returns the party
	// that they are charged to. ReleaseAnswer releases them; it may be called from any goroutine.
	ReserveAnswer(q *Request, bytes int) (party string)
	ReleaseAnswer(party string, bytes int)
}
