package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

const testTimeout = 10 * time.Second

// testFleet is a Fleet that runs until the test ends.
type testFleet struct {
	*Fleet
	mu    sync.Mutex
	tiers []Tier
	end   context.CancelFunc
	ended chan error
}

func (r *testFleet) last() (t Tier) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tiers) > 0 {
		t = r.tiers[len(r.tiers)-1]
	}
	return t
}

func run(t *testing.T, cfg Config) *testFleet {
	t.Helper()
	r := &testFleet{ended: make(chan error, 1)}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	cfg.TierChanged = func(now Tier) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tiers = append(r.tiers, now)
	}
	var err error
	if r.Fleet, err = Open(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	r.end = end
	go func() { r.ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		end()
		select {
		case err := <-r.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("it does not end")
		}
	})
	return r
}

// until looks again and again.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (r *testFleet) states(t *testing.T) string {
	t.Helper()
	v, err := r.View(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, m := range v.Members {
		out = append(out, m.Name+" "+m.State.String())
	}
	return strings.Join(out, ", ")
}

func TestThreeMeetAndOneLeaves(t *testing.T) {
	key := make([]byte, 32)
	rand.Read(key) //nolint:errcheck // it does not fail
	a := run(t, Config{Name: "a", Key: key})
	b := run(t, Config{Name: "b", Key: key, Join: []string{a.Addr()}})
	c := run(t, Config{Name: "c", Key: key, Join: []string{a.Addr()}})
	for _, r := range []*testFleet{a, b, c} {
		until(t, "all know all", func() bool { return r.states(t) == "a alive, b alive, c alive" })
		until(t, "a third each", func() bool { return r.last().Parts == 3 && r.last().Routers == 3 && !r.last().Until.IsZero() })
	}
	c.end()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
	c.ended <- nil
	for _, r := range []*testFleet{a, b} {
		until(t, "it has left", func() bool { return r.states(t) == "a alive, b alive, c left" })
		until(t, "a half each", func() bool { return r.last().Parts == 2 })
	}
}

// Whoever has another key, or none, is nobody.
func TestStrangersAreNotHeard(t *testing.T) {
	key, other := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	a := run(t, Config{Name: "a", Key: key})
	b := run(t, Config{Name: "b", Key: key, Join: []string{a.Addr()}})
	wrong := run(t, Config{Name: "wrong", Key: other, Join: []string{a.Addr()}})
	none := run(t, Config{Name: "none", Join: []string{a.Addr()}})
	until(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" })
	until(t, "messages of strangers are refused", func() bool {
		v, err := a.View(t.Context())
		return err == nil && v.Counters.Refused >= 10
	})
	for r, want := range map[*testFleet]string{a: "a alive, b alive", b: "a alive, b alive", wrong: "wrong joining", none: "none joining"} {
		if got := r.states(t); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// Rubbish by datagrams and streams, and streams that say nothing, change nothing and take nothing away from those who belong.
func TestHostileInput(t *testing.T) {
	a := run(t, Config{Name: "a"})
	u, err := net.Dial("udp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	good := fleet.AppendMAC(nil, []byte{1, 1, 0, 0, 0, 0})
	for _, b := range [][]byte{{}, {0}, bytes.Repeat([]byte{0xff}, 1400), good, good[:len(good)-1], bytes.Repeat([]byte{1}, 256)} {
		u.Write(b) //nolint:errcheck // it may be lost
	}
	for _, b := range [][]byte{{}, {0}, {0xff, 0xff}, {0, 3, 1, 2, 3}, append(binary.BigEndian.AppendUint16(nil, uint16(len(good))), good...), {0, 200, 1}} {
		for range 2 * maxStreams {
			c, err := net.Dial("tcp", a.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.Write(b) //nolint:errcheck // it may have been turned away
		}
	}
	b := run(t, Config{Name: "b", Join: []string{a.Addr()}})
	until(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" && b.states(t) == "a alive, b alive" })
}

func TestDoubleEndsTheLaterOne(t *testing.T) {
	a := run(t, Config{Name: "a"})
	b := run(t, Config{Name: "b", Join: []string{a.Addr()}})
	until(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" })
	double, err := Open(Config{Name: "b", Listen: "127.0.0.1:0", Join: []string{a.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	err = double.Run(t.Context())
	if !errors.Is(err, fleet.ErrDuplicateName) || !strings.Contains(fmt.Sprint(err), b.Addr()) || !strings.Contains(fmt.Sprint(err), double.Addr()) {
		t.Errorf("the later one is told %v", err)
	}
	until(t, "the older goes on", func() bool { return b.states(t) == "a alive, b alive" && b.last().Parts == 2 })
}

// A process alone with no address to join by has what it was told to expect, after a while; other addresses to join by count at once.
func TestAloneAndThenNot(t *testing.T) {
	a := run(t, Config{Name: "a", ExpectedRouters: 6})
	if got := a.last(); got.Parts != 0 && got.Parts != fleet.NoShare {
		t.Errorf("at first it has one of %v parts", got.Parts)
	}
	until(t, "a sixth", func() bool { return a.last().Parts == 6 && a.last().Until.IsZero() })
	b := run(t, Config{Name: "b"})
	if err := b.SetJoinAddrs(t.Context(), []string{a.Addr()}); err != nil {
		t.Fatal(err)
	}
	until(t, "half each", func() bool { return a.last().Parts == 2 && b.last().Parts == 2 })
	if err := b.SetJoinAddrs(t.Context(), []string{"nowhere"}); err == nil {
		t.Error("an address that is none is taken")
	}
}

func TestOpenRefuses(t *testing.T) {
	for want, cfg := range map[string]Config{
		"1 to 24 printable":       {Listen: "127.0.0.1:0"},
		"is no loopback address":  {Name: "a", Listen: "127.0.0.1:0", Advertise: "192.0.2.1:7946"},
		"no address that others":  {Name: "a", Listen: "127.0.0.1:0", Advertise: "0.0.0.0:7946"},
		"missing port in address": {Name: "a", Listen: "127.0.0.1:0", Join: []string{"127.0.0.1"}},
		"65 addresses to join by": {Name: "a", Listen: "127.0.0.1:0", Join: make([]string, 65)},
	} {
		if f, err := Open(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
			if f != nil {
				f.Close()
			}
		}
	}
}

func TestChangesAreLoggedAtABoundedRate(t *testing.T) {
	var b logLimiter
	now := time.Now()
	b.nextWindow(now)
	n := 0
	for range 100 {
		if b.allow(maxChangeLogsPerSecond) {
			n++
		}
	}
	if n != maxChangeLogsPerSecond || b.suppressed != 80 {
		t.Errorf("%d lines, %d left out", n, b.suppressed)
	}
	if b.nextWindow(now.Add(2 * time.Second)); !b.allow(maxChangeLogsPerSecond) {
		t.Error("another second has no line")
	}
}
