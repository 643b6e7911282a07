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

// testFleet is a Fleet that runs until the test ends, and records the tiers that it announces.
type testFleet struct {
	*Fleet
	mu    sync.Mutex
	tiers []Tier
	stop  context.CancelFunc
	ended chan error
}

func (r *testFleet) lastTier() (t Tier) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tiers) > 0 {
		t = r.tiers[len(r.tiers)-1]
	}
	return t
}

func startFleet(t *testing.T, cfg Config) *testFleet {
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
	r.stop = end
	go func() { r.ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		end()
		select {
		case err := <-r.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("the Fleet does not stop")
		}
	})
	return r
}

// waitUntil polls a condition until it holds, and fails the test after testTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", what)
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

// Members find each other through one join address and share equally; the shares grow when a member leaves.
func TestThreeMembersJoinAndOneLeaves(t *testing.T) {
	key := make([]byte, 32)
	rand.Read(key) //nolint:errcheck // it never fails
	a := startFleet(t, Config{Name: "a", Key: key})
	b := startFleet(t, Config{Name: "b", Key: key, Join: []string{a.Addr()}})
	c := startFleet(t, Config{Name: "c", Key: key, Join: []string{a.Addr()}})
	for _, r := range []*testFleet{a, b, c} {
		waitUntil(t, "all members know each other", func() bool { return r.states(t) == "a alive, b alive, c alive" })
		waitUntil(t, "a share of 1/3 each", func() bool {
			return r.lastTier().Parts == 3 && r.lastTier().Routers == 3 && !r.lastTier().Until.IsZero()
		})
	}
	c.stop()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
	c.ended <- nil
	for _, r := range []*testFleet{a, b} {
		waitUntil(t, "the member has left", func() bool { return r.states(t) == "a alive, b alive, c left" })
		waitUntil(t, "a share of 1/2 each", func() bool { return r.lastTier().Parts == 2 })
	}
}

// Guards against accepting messages from processes with another key or without one.
func TestMessagesWithAnotherKeyAreRejected(t *testing.T) {
	key, other := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	a := startFleet(t, Config{Name: "a", Key: key})
	b := startFleet(t, Config{Name: "b", Key: key, Join: []string{a.Addr()}})
	wrong := startFleet(t, Config{Name: "wrong", Key: other, Join: []string{a.Addr()}})
	none := startFleet(t, Config{Name: "none", Join: []string{a.Addr()}})
	waitUntil(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" })
	waitUntil(t, "messages with another MAC key are rejected", func() bool {
		v, err := a.View(t.Context())
		return err == nil && v.Counters.Refused >= 10
	})
	for r, want := range map[*testFleet]string{a: "a alive, b alive", b: "a alive, b alive", wrong: "wrong joining", none: "none joining"} {
		if got := r.states(t); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// Guards against invalid datagrams and streams, and idle streams, that change the view or use up capacity
// that members need.
func TestHostileInput(t *testing.T) {
	a := startFleet(t, Config{Name: "a"})
	u, err := net.Dial("udp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	good := fleet.AppendMAC(nil, []byte{1, 1, 0, 0, 0, 0})
	for _, b := range [][]byte{{}, {0}, bytes.Repeat([]byte{0xff}, 1400), good, good[:len(good)-1], bytes.Repeat([]byte{1}, 256)} {
		u.Write(b) //nolint:errcheck // a datagram may be lost
	}
	for _, b := range [][]byte{{}, {0}, {0xff, 0xff}, {0, 3, 1, 2, 3}, append(binary.BigEndian.AppendUint16(nil, uint16(len(good))), good...), {0, 200, 1}} {
		for range 2 * maxStreams {
			c, err := net.Dial("tcp", a.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.Write(b) //nolint:errcheck // the Fleet may have closed it for lack of capacity
		}
	}
	b := startFleet(t, Config{Name: "b", Join: []string{a.Addr()}})
	waitUntil(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" && b.states(t) == "a alive, b alive" })
}

// Guards against two processes that run under one name: the one that started later stops with an error.
func TestDuplicateNameStopsTheLaterProcess(t *testing.T) {
	a := startFleet(t, Config{Name: "a"})
	b := startFleet(t, Config{Name: "b", Join: []string{a.Addr()}})
	waitUntil(t, "two know each other", func() bool { return a.states(t) == "a alive, b alive" })
	duplicate, err := Open(Config{Name: "b", Listen: "127.0.0.1:0", Join: []string{a.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	err = duplicate.Run(t.Context())
	if !errors.Is(err, fleet.ErrDuplicateName) || !strings.Contains(fmt.Sprint(err), b.Addr()) || !strings.Contains(fmt.Sprint(err), duplicate.Addr()) {
		t.Errorf("the later process got %v", err)
	}
	waitUntil(t, "the older process continues", func() bool { return b.states(t) == "a alive, b alive" && b.lastTier().Parts == 2 })
}

// A router without join addresses uses the share for its expected number of routers after a while. New join
// addresses take effect at once.
func TestLoneRouterThenJoins(t *testing.T) {
	a := startFleet(t, Config{Name: "a", ExpectedRouters: 6})
	if got := a.lastTier(); got.Parts != 0 && got.Parts != fleet.NoShare {
		t.Errorf("the first share is 1/%v", got.Parts)
	}
	waitUntil(t, "a share of 1/6", func() bool { return a.lastTier().Parts == 6 && a.lastTier().Until.IsZero() })
	b := startFleet(t, Config{Name: "b"})
	if err := b.SetJoinAddrs(t.Context(), []string{a.Addr()}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a share of 1/2 each, joined", func() bool { return a.lastTier().Parts == 2 && b.lastTier().Parts == 2 })
	if err := b.SetJoinAddrs(t.Context(), []string{"nowhere"}); err == nil {
		t.Error("an invalid join address is accepted")
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
			t.Errorf("got %v, want %q", err, want)
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
		t.Errorf("%d lines allowed, %d suppressed", n, b.suppressed)
	}
	if b.nextWindow(now.Add(2 * time.Second)); !b.allow(maxChangeLogsPerSecond) {
		t.Error("the next window allows no line")
	}
}
