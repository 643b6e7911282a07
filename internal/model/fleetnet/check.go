package fleetnet

import (
	"fmt"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Running are the routers whose processes live, the stopped ones too.
func (n *Net) Running() (out []*Node) {
	for _, nd := range n.Nodes {
		if nd.State <= Stopped {
			out = append(out, nd)
		}
	}
	return out
}

// Overspent says what each may use, where that is more than there is.
func (n *Net) Overspent() error {
	sum := n.Spent()
	if sum <= 1+1e-9 {
		return nil
	}
	text := ""
	for _, nd := range n.Running() {
		text += fmt.Sprintf(" %s:%+v", nd.Cfg.Name, nd.Share())
	}
	return fmt.Errorf("at %.0f ms: all may use %.3f of the whole:%s", n.Now, sum, text)
}

// Settled says what keeps the views of the routers that are up from being equal and true, nil where they are.
func (n *Net) Settled() error {
	var first *Node
	up := map[string]*Node{}
	for _, nd := range n.Nodes {
		if nd.State == Up && nd.Refused() == nil {
			up[nd.Cfg.Name] = nd
		}
	}
	for _, nd := range n.Nodes {
		if up[nd.Cfg.Name] != nd {
			continue
		}
		v := nd.View(n.Now)
		if first == nil {
			first = nd
		}
		if w := first.View(n.Now); v.Digest != w.Digest {
			return fmt.Errorf("%s and %s differ: %s", nd.Cfg.Name, first.Cfg.Name, Differ(v, w))
		}
		heard := 0
		for _, mem := range v.Members {
			if lives := up[mem.Name] != nil; lives != (mem.State <= fleet.Alive) {
				return fmt.Errorf("%s calls %s %v, which is up: %v", nd.Cfg.Name, mem.Name, mem.State, lives)
			} else if lives {
				heard++
			}
		}
		if heard != len(up) {
			return fmt.Errorf("%s knows %d of %d", nd.Cfg.Name, heard, len(up))
		}
	}
	return nil
}

// Differ names the first member that two views have differently.
func Differ(a, b fleet.View) string {
	was := map[string]fleet.Member{}
	for _, m := range b.Members {
		was[m.Name] = m
	}
	for _, m := range a.Members {
		o, ok := was[m.Name]
		delete(was, m.Name)
		if !ok && m.State <= fleet.Excluded || ok && (m.State != o.State && (m.State <= fleet.Excluded || o.State <= fleet.Excluded) || m.Start != o.Start || m.Incarnation != o.Incarnation) {
			return fmt.Sprintf("%s is %v (start %d, %d) and %v (start %d, %d)", m.Name, m.State, m.Start, m.Incarnation, o.State, o.Start, o.Incarnation)
		}
	}
	for name, o := range was {
		if o.State <= fleet.Excluded {
			return fmt.Sprintf("%s is unknown and %v", name, o.State)
		}
	}
	return "nobody"
}

// Until lets time pass until the views have settled, at most so many ms, and tells how long it took.
func (n *Net) Until(ms float64, is func() bool) (took float64, ok bool) {
	began := n.Now
	for n.Now-began < ms {
		if is() {
			return n.Now - began, true
		}
		n.For(tickMS)
	}
	return n.Now - began, is()
}

// Watched is a network of which is watched what its routers use of the whole.
type Watched struct {
	*Net
	Worse error // the first moment at which that was more than there is
}

// Pass lets time pass and watches.
func (w *Watched) Pass(ms float64) {
	w.Run(w.Now+ms, func() {
		if w.Worse == nil {
			w.Worse = w.Overspent()
		}
	})
}
