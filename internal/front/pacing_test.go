package front

import (
	"testing"
	"time"
)

// Guards against a client that has commands answered at full speed: its allowance is used up, and comes back with
// time alone.
func TestAllowanceOfAConnectionIsBoundedByTime(t *testing.T) {
	now := time.Now()
	var a allowance
	allowed := 0
	for range 1000 {
		if a.spend(1, now) {
			allowed++
		} else {
			a.units++ // as pace does with what it has waited for
		}
	}
	if allowed != allowanceBurst {
		t.Errorf("%d commands at once, %d allowed", allowed, allowanceBurst)
	}
	now = now.Add(100 * time.Millisecond)
	for allowed = 0; a.spend(1, now); allowed++ {
	}
	if want := allowanceRate / 10; allowed > want || allowed < want-1 {
		t.Errorf("%d commands after 0.1 s, %d allowed", allowed, want)
	}
}

// Guards against an allowance that grows without end while a connection is idle.
func TestAllowanceOfAnIdleConnectionStaysBounded(t *testing.T) {
	now := time.Now()
	var a allowance
	a.spend(1, now)
	if a.spend(1, now.Add(time.Hour)); a.units > allowanceBurst {
		t.Errorf("%v units, %v at most", a.units, allowanceBurst)
	}
}

// Guards against loud clients that get more the more they are: what all of them have beyond their allowances is
// one amount, and each waits for its turn.
func TestLoudConnectionsShareOneAmount(t *testing.T) {
	p := NewPacer()
	var longest time.Duration
	const turns = 200
	for range turns {
		longest = max(longest, reserve(p.commands, turnUnits))
	}
	want := time.Duration(float64(turns*turnUnits-sharedBurst) / sharedRate * float64(time.Second))
	if longest < want-10*time.Millisecond || longest > want {
		t.Errorf("the last of %d turns waits %v, want %v", turns, longest, want)
	}
}

// Guards against clients that are slowed down though most of their requests are served, as some are rejected in an
// overload.
func TestServedRequestsMakeUpForRejectedOnes(t *testing.T) {
	c := &clientConn{}
	now := time.Now()
	for i := range 1000 {
		c.countRejections(i%3 == 0)
		if !c.allowance.spend(int(c.rejections.Swap(0)), now) {
			t.Fatalf("slowed down after %d requests", i)
		}
	}
	for i := range 1000 {
		c.countRejections(i%3 != 0)
		if !c.allowance.spend(int(c.rejections.Swap(0)), now) {
			return
		}
	}
	t.Error("a client most of whose requests are rejected is not slowed down")
}
