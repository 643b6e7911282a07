package decide_test

import (
	"fmt"

	"mossproxy.example/mossproxy/decide"
)

// printer is a router's side of the interface; a real one sends requests and arms timers.
type printer struct{}

func (printer) Send(id, server uint32, _ float64) { fmt.Println("send", id, "to", server) }
func (printer) Cancel(id uint32, attempt int)     { fmt.Println("cancel", id, attempt) }
func (printer) Refuse(id uint32, _ float64)       { fmt.Println("refuse", id) }
func (printer) Fail(id uint32)                    { fmt.Println("fail", id) }
func (printer) Probe(server uint32)               { fmt.Println("probe", server) }
func (printer) Close(server uint32)               { fmt.Println("close", server) }
func (printer) Timer(float64, uint64)             {}
func (printer) WatchList()                        { fmt.Println("watch") }
func (printer) Broadcast([]byte)                  {}
func (printer) Log(text string)                   { fmt.Println(text) }

func Example() {
	cfg := decide.Config{
		Routers: 1, MaxAttempts: 3, Cancel: true,
		Classes: []decide.Class{{Name: "read", Aim: 300, Deadline: 1000, Worth: 1}},
		Cold:    8000, ColdFrom: 0.3, FallMult: 3, FallFor: 2000,
	}
	b, err := decide.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Servers(0, decide.Full, []decide.Entry{{ID: 11, Size: 1}, {ID: 12, Size: 1}})
	b.Request(5, decide.Request{ID: 1, Class: "read", Key: 42, HasKey: true, Left: 600})
	b.Outcome(9, decide.Outcome{ID: 1, Server: 12, Status: decide.QueueFull, Latency: 4, Load: decide.NoLoad})
	b.Outcome(60, decide.Outcome{ID: 1, Attempt: 1, Server: 11, Status: decide.OK, Latency: 50, Final: true,
		Load: decide.NoLoad})
	// Output:
	// send 1 to 12
	// send 1 to 11
}
