package decide

import "testing"

// Guards against memory that grows without end under ever new keys.
func TestRecordsOfKeysAreBounded(t *testing.T) {
	const most = 100
	cfg := testConfig()
	cfg.MaxKeys = most
	h := newHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Servers(100000, Full, fleet(4))
	now := 100010.0
	ask := func(id uint32, key uint64) {
		now += 0.1
		b.Request(now, Request{ID: id, Class: "read", Key: key, HasKey: true, Left: 500})
		b.Outcome(now, Outcome{ID: id, Server: h.last().server, Status: OK, Latency: 1, Final: true, Load: NoLoad})
	}
	const popular = 7
	for i := range uint32(10000) {
		ask(2*i+1, popular)
		ask(2*i+2, uint64(1000+i))
	}
	if len(b.keys) > most || len(b.keyList) > most {
		t.Errorf("%d keys, %d in the list, %d at most", len(b.keys), len(b.keyList), most)
	}
	if k := b.keys[popular]; k == nil || k.rate.value < 100 {
		t.Errorf("the record of a popular key made way for keys that never come again: %+v", k)
	}
	for _, k := range b.keyList {
		if b.keys[k.id] != k {
			t.Errorf("key %d is in the list, and its record is another one", k.id)
		}
	}
}
