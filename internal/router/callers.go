package router

import (
	"context"
	"time"

	"mossproxy.example/mossproxy/internal/front"
	clients "mossproxy.example/mossproxy/internal/front/meta"
	protocol "mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// recheckEvery is how often connections are looked at for callers that are withdrawn. A connection that asks learns of it at once.
const recheckEvery = 250 * time.Millisecond

// recheck ends connections whose callers are withdrawn, until ctx ends.
func recheck(ctx context.Context, fronts []*front.ConnManager) {
	t := time.NewTicker(recheckEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, f := range fronts {
			f.DrainRevoked()
		}
	}
}

// metaClients is what clients of the meta commands speak.
func (s Setup) metaClients() clients.Protocol {
	if s.Gate == nil {
		return clients.Protocol{}
	}
	return clients.Protocol{Callers: s.Gate, ServerKey: s.keys()}
}

// keys gives a caller's keys as the servers of the pool know them: in the space of its tenant, and where servers own slots in the
// slot that the caller counts. The longest is that of the meta dialect, as clients of both may come to one pool.
func (s Setup) keys() func(p *caller.Identity, key string) (string, error) {
	if s.cluster == nil {
		return func(p *caller.Identity, key string) (string, error) {
			if err := tenant.CheckPath(key); err != nil { // it is the origin's path too
				return "", err
			}
			return p.Space.ServerKey(key, protocol.MaxKey)
		}
	}
	tags, origin := slots.NewHashTags(), s.RESP.Origin != ""
	return func(p *caller.Identity, key string) (string, error) {
		if origin {
			if err := tenant.CheckPath(key); err != nil {
				return "", err
			}
		}
		return p.Space.SlotKey(key, tags.ForSlot(slots.ForKey([]byte(key))), protocol.MaxKey)
	}
}
