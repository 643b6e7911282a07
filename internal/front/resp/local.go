package resp

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"

	"crypto/sha1" //nolint:gosec // names of nodes, no secrets

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/pure/tier"
)

// The commands that the router answers itself.

func ok(*session, [][]byte) []byte { return resp.AppendSimple(nil, "OK") }

func ping(_ *session, args [][]byte) []byte {
	if len(args) > 1 {
		return resp.AppendBulk(nil, args[1])
	}
	return resp.AppendSimple(nil, "PONG")
}

func echo(_ *session, args [][]byte) []byte { return resp.AppendBulk(nil, args[1]) }

// askingOK lets the next command be for a slot of another router.
func askingOK(s *session, _ [][]byte) []byte {
	s.asking = true
	return resp.AppendSimple(nil, "OK")
}

func selectDB(_ *session, args [][]byte) []byte {
	if string(args[1]) != "0" {
		return resp.AppendError(nil, "ERR SELECT is not allowed in cluster mode")
	}
	return resp.AppendSimple(nil, "OK")
}

var wrongPass = resp.AppendError(nil, "WRONGPASS invalid username-password pair or user is disabled.")

// auth logs in: AUTH PASSWORD or AUTH USER PASSWORD. A wrong one leaves the connection as it was.
func auth(s *session, args [][]byte) []byte {
	user, password := []byte("default"), args[len(args)-1]
	switch {
	case len(args) > 3:
		return resp.AppendError(nil, "ERR wrong number of arguments for 'auth' command")
	case len(args) == 3:
		user = args[1]
	}
	if s.guest != nil {
		if why := s.known(user, password); why != caller.None {
			return wrongBecause(why)
		}
		return resp.AppendSimple(nil, "OK")
	}
	if len(s.p.cfg.Logins) == 0 {
		return resp.AppendError(nil, "ERR AUTH called without any password configured for the default user. Are you sure your configuration is correct?")
	}
	tenant, ok := s.p.login(user, password)
	if !ok {
		return wrongPass
	}
	s.tenant, s.in = tenant, true
	return resp.AppendSimple(nil, "OK")
}

// hello is HELLO [2|3 [AUTH user password] [SETNAME name]].
func hello(s *session, args [][]byte) []byte {
	proto, tenant, in, name := s.proto, s.tenant, s.in, s.name
	if s.guest != nil {
		_, why := s.guest.Pass()
		in = why == caller.None
	}
	if len(args) > 1 {
		n, err := strconv.Atoi(string(args[1]))
		if err != nil || n < 2 || n > 3 {
			return resp.AppendError(nil, "NOPROTO unsupported protocol version")
		}
		proto = n
	}
	for i := 2; i < len(args); i++ {
		switch word := strings.ToUpper(string(args[i])); {
		case word == "AUTH" && i+2 < len(args):
			switch {
			case s.guest != nil:
				if why := s.known(args[i+1], args[i+2]); why != caller.None {
					return wrongBecause(why)
				}
				in = true
			case len(s.p.cfg.Logins) > 0:
				var ok bool
				if tenant, ok = s.p.login(args[i+1], args[i+2]); !ok {
					return wrongPass
				}
				in = true
			}
			i += 2
		case word == "SETNAME" && i+1 < len(args):
			if !validName(args[i+1]) {
				return badName
			}
			name = bytes.Clone(args[i+1])
			i++
		default:
			return resp.AppendError(nil, "ERR Syntax error in HELLO option '"+printable(args[i])+"'")
		}
	}
	if !in {
		return resp.AppendError(nil, "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time")
	}
	if s.guest != nil { // its pass says who it is, and whether it still does
		in = true
	}
	s.proto, s.tenant, s.in, s.name = proto, tenant, in, name
	b := resp.AppendMapHeader(nil, 7, proto)
	for _, kv := range [][2]string{{"server", "redis"}, {"version", version}, {"proto", ""}, {"id", ""}, {"mode", "cluster"}, {"role", "master"}, {"modules", ""}} {
		b = resp.AppendBulk(b, []byte(kv[0]))
		switch kv[0] {
		case "proto":
			b = resp.AppendInt(b, int64(proto))
		case "id":
			b = resp.AppendInt(b, int64(s.id))
		case "modules":
			b = resp.AppendArrayHeader(b, 0)
		default:
			b = resp.AppendBulk(b, []byte(kv[1]))
		}
	}
	return b
}

// version is the version of the dialect that is spoken: clients switch on it.
const version = "7.0.0"

var badName = resp.AppendError(nil, "ERR Client names cannot contain spaces, newlines or special characters.")

// maxName bounds what a client may call itself.
const maxName = 64

func validName(n []byte) bool {
	return len(n) <= maxName && !bytes.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r > '~' })
}

// client is CLIENT: what names and describes a connection.
func client(s *session, args [][]byte) []byte {
	switch sub := strings.ToUpper(string(args[1])); {
	case sub == "SETNAME" && len(args) == 3:
		if !validName(args[2]) {
			return badName
		}
		s.name = bytes.Clone(args[2])
		return resp.AppendSimple(nil, "OK")
	case sub == "GETNAME":
		if len(s.name) == 0 {
			return resp.AppendNull(nil, s.proto)
		}
		return resp.AppendBulk(nil, s.name)
	case sub == "ID":
		return resp.AppendInt(nil, int64(s.id))
	case sub == "SETINFO" && len(args) == 4, sub == "NO-EVICT" && len(args) == 3, sub == "NO-TOUCH" && len(args) == 3:
		return resp.AppendSimple(nil, "OK")
	case sub == "INFO" || sub == "LIST":
		return resp.AppendBulk(nil, fmt.Appendf(nil, "id=%d name=%s resp=%d\n", s.id, s.name, s.proto))
	}
	return resp.AppendError(nil, "ERR CLIENT "+printable(args[1])+" is not taken here; SETNAME, GETNAME, ID, INFO, SETINFO, NO-EVICT and NO-TOUCH are")
}

// command is COMMAND, COMMAND COUNT, INFO, GETKEYS and DOCS.
func command(s *session, args [][]byte) []byte {
	names := make([]string, 0, len(specs))
	for n := range specs {
		names = append(names, n)
	}
	sort.Strings(names)
	sub := ""
	if len(args) > 1 {
		sub = strings.ToUpper(string(args[1]))
	}
	switch sub {
	case "":
		b := resp.AppendArrayHeader(nil, len(names))
		for _, n := range names {
			b = appendSpec(b, specs[n])
		}
		return b
	case "COUNT":
		return resp.AppendInt(nil, int64(len(names)))
	case "INFO":
		b := resp.AppendArrayHeader(nil, len(args)-2)
		for _, a := range args[2:] {
			if c := specs[strings.ToUpper(string(a))]; c != nil {
				b = appendSpec(b, c)
			} else {
				b = resp.AppendNull(b, s.proto)
			}
		}
		return b
	case "DOCS":
		return resp.AppendMapHeader(nil, 0, s.proto)
	case "GETKEYS":
		return getKeys(args[2:])
	}
	return resp.AppendError(nil, "ERR COMMAND "+printable(args[1])+" is not taken here")
}

func getKeys(args [][]byte) []byte {
	if len(args) == 0 {
		return resp.AppendError(nil, "ERR wrong number of arguments for 'command|getkeys' command")
	}
	c := specs[strings.ToUpper(string(args[0]))]
	if c == nil || c.first == 0 {
		return resp.AppendError(nil, "ERR The command has no key arguments")
	}
	keys := c.keys(args)
	b := resp.AppendArrayHeader(nil, len(keys))
	for _, k := range keys {
		b = resp.AppendBulk(b, k)
	}
	return b
}

func info(*session, [][]byte) []byte {
	return resp.AppendBulk(nil, []byte("# Server\r\nredis_version:"+version+"\r\nredis_mode:cluster\r\nserver_name:cottonyoke\r\n# Replication\r\nrole:master\r\n# Cluster\r\ncluster_enabled:1\r\n"))
}

// nodeID is the name of a router, the same at all of them.
func nodeID(addr string) string { return fmt.Sprintf("%x", sha1.Sum([]byte(addr))) }

// part is one router of the tier with the runs of slots that it serves now.
type part struct {
	n          int
	me         bool
	addr, host string
	port       int64
	runs       [][2]int
}

// parts are the routers of the tier, by number.
func (p *Protocol) parts() (out []part) {
	now := p.peers.now.Load()
	n := len(now.ServedBy)
	for i, addr := range now.Routers {
		host, port, _ := net.SplitHostPort(addr)
		num, _ := strconv.ParseInt(port, 10, 64)
		m := part{n: i, me: i == now.Self, addr: addr, host: host, port: num}
		for _, home := range tier.PartitionsOf(now.ServedBy, i) {
			run := [2]int{(home*slots.Count + n - 1) / n, ((home+1)*slots.Count+n-1)/n - 1}
			if last := len(m.runs) - 1; last >= 0 && m.runs[last][1]+1 == run[0] {
				m.runs[last][1] = run[1]
			} else {
				m.runs = append(m.runs, run)
			}
		}
		out = append(out, m)
	}
	return out
}

// serving are the routers that serve any slots.
func (p *Protocol) serving() []part {
	return slices.DeleteFunc(p.parts(), func(n part) bool { return len(n.runs) == 0 })
}

// cluster is CLUSTER: the routers as a cluster.
func cluster(s *session, args [][]byte) []byte {
	p := s.p
	switch sub := strings.ToUpper(string(args[1])); {
	case sub == "SLOTS":
		return p.clusterSlots()
	case sub == "SHARDS":
		return p.clusterShards(s.proto)
	case sub == "NODES":
		return resp.AppendBulk(nil, p.clusterNodes())
	case sub == "INFO":
		now := p.peers.now.Load()
		epoch := 1 + now.Version
		return resp.AppendBulk(nil, fmt.Appendf(nil, "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_slots_ok:%d\r\n"+
			"cluster_slots_pfail:0\r\ncluster_slots_fail:0\r\ncluster_known_nodes:%d\r\ncluster_size:%d\r\ncluster_current_epoch:%d\r\ncluster_my_epoch:%d\r\n",
			slots.Count, slots.Count, len(now.Routers), len(p.serving()), epoch, epoch))
	case sub == "MYID":
		now := p.peers.now.Load()
		return resp.AppendBulk(nil, []byte(nodeID(now.Routers[now.Self])))
	case sub == "KEYSLOT" && len(args) == 3:
		return resp.AppendInt(nil, int64(slots.Of(args[2])))
	}
	return resp.AppendError(nil, "ERR CLUSTER "+printable(args[1])+" is not taken here; SLOTS, SHARDS, NODES, INFO, MYID and KEYSLOT are")
}

func (p *Protocol) clusterSlots() []byte {
	type run struct {
		part
		from, to int
	}
	var runs []run
	for _, n := range p.parts() {
		for _, r := range n.runs {
			runs = append(runs, run{n, r[0], r[1]})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.from - b.from })
	b := resp.AppendArrayHeader(nil, len(runs))
	for _, n := range runs {
		b = resp.AppendInt(resp.AppendInt(resp.AppendArrayHeader(b, 3), int64(n.from)), int64(n.to))
		b = resp.AppendBulk(resp.AppendInt(resp.AppendBulk(resp.AppendArrayHeader(b, 3), []byte(n.host)), n.port), []byte(nodeID(n.addr)))
	}
	return b
}

func (p *Protocol) clusterShards(proto int) []byte {
	parts := p.serving()
	b := resp.AppendArrayHeader(nil, len(parts))
	str := func(t string) { b = resp.AppendBulk(b, []byte(t)) }
	for _, n := range parts {
		b = resp.AppendMapHeader(b, 2, proto)
		str("slots")
		b = resp.AppendArrayHeader(b, 2*len(n.runs))
		for _, r := range n.runs {
			b = resp.AppendInt(resp.AppendInt(b, int64(r[0])), int64(r[1]))
		}
		str("nodes")
		b = resp.AppendMapHeader(resp.AppendArrayHeader(b, 1), 7, proto)
		for _, kv := range [][2]string{{"id", nodeID(n.addr)}, {"ip", n.host}, {"endpoint", n.host}, {"role", "master"}, {"health", "online"}} {
			str(kv[0])
			str(kv[1])
		}
		str("port")
		b = resp.AppendInt(b, n.port)
		str("replication-offset")
		b = resp.AppendInt(b, 0)
	}
	return b
}

// clusterNodes names all routers: one that serves nothing just now has no slots, and may be back soon.
func (p *Protocol) clusterNodes() []byte {
	var b []byte
	epoch := 1 + p.peers.now.Load().Version
	for _, n := range p.parts() {
		flags := "master"
		if n.me {
			flags = "myself,master"
		}
		b = fmt.Appendf(b, "%s %s@%d %s - 0 0 %d connected", nodeID(n.addr), n.addr, n.port+10000, flags, epoch)
		for _, r := range n.runs {
			b = fmt.Appendf(b, " %d-%d", r[0], r[1])
		}
		b = append(b, '\n')
	}
	return b
}
