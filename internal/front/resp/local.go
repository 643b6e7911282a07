package resp

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"

	"crypto/sha1" //nolint:gosec // used for node IDs, not for security

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/pure/tier"
)

// The commands that the router answers without a server.

func replyOK(*session, [][]byte) []byte { return resp.AppendSimple(nil, "OK") }

func handlePing(_ *session, args [][]byte) []byte {
	if len(args) > 1 {
		return resp.AppendBulk(nil, args[1])
	}
	return resp.AppendSimple(nil, "PONG")
}

func handleEcho(_ *session, args [][]byte) []byte { return resp.AppendBulk(nil, args[1]) }

// handleAsking lets the next command address a slot of another router.
func handleAsking(s *session, _ [][]byte) []byte {
	s.asking = true
	return resp.AppendSimple(nil, "OK")
}

func handleSelect(_ *session, args [][]byte) []byte {
	if string(args[1]) != "0" {
		return resp.AppendError(nil, "ERR SELECT is not allowed in cluster mode")
	}
	return resp.AppendSimple(nil, "OK")
}

var wrongPassError = resp.AppendError(nil, "WRONGPASS invalid username-password pair or user is disabled.")

// handleAuth handles AUTH PASSWORD and AUTH USER PASSWORD. On failure the login state is unchanged.
func handleAuth(s *session, args [][]byte) []byte {
	user, password := []byte("default"), args[len(args)-1]
	switch {
	case len(args) > 3:
		return resp.AppendError(nil, "ERR wrong number of arguments for 'auth' command")
	case len(args) == 3:
		user = args[1]
	}
	if s.guest != nil {
		if reason := s.authenticate(user, password); reason != caller.None {
			return wrongPassReply(reason)
		}
		return resp.AppendSimple(nil, "OK")
	}
	if len(s.protocol.cfg.Logins) == 0 {
		return resp.AppendError(nil, "ERR AUTH called without any password configured for the default user. Are you sure your configuration is correct?")
	}
	tenant, ok := s.protocol.checkPassword(user, password)
	if !ok {
		return wrongPassError
	}
	s.tenant, s.loggedIn = tenant, true
	return resp.AppendSimple(nil, "OK")
}

// handleHello handles HELLO [2|3 [AUTH user password] [SETNAME name]].
func handleHello(s *session, args [][]byte) []byte {
	respVersion, tenant, loggedIn, name := s.respVersion, s.tenant, s.loggedIn, s.name
	if s.guest != nil {
		_, reason := s.guest.Pass()
		loggedIn = reason == caller.None
	}
	if len(args) > 1 {
		n, err := strconv.Atoi(string(args[1]))
		if err != nil || n < 2 || n > 3 {
			return resp.AppendError(nil, "NOPROTO unsupported protocol version")
		}
		respVersion = n
	}
	for i := 2; i < len(args); i++ {
		switch option := strings.ToUpper(string(args[i])); {
		case option == "AUTH" && i+2 < len(args):
			switch {
			case s.guest != nil:
				if reason := s.authenticate(args[i+1], args[i+2]); reason != caller.None {
					return wrongPassReply(reason)
				}
				loggedIn = true
			case len(s.protocol.cfg.Logins) > 0:
				var ok bool
				if tenant, ok = s.protocol.checkPassword(args[i+1], args[i+2]); !ok {
					return wrongPassError
				}
				loggedIn = true
			}
			i += 2
		case option == "SETNAME" && i+1 < len(args):
			if !isValidClientName(args[i+1]) {
				return invalidNameError
			}
			name = bytes.Clone(args[i+1])
			i++
		default:
			return resp.AppendError(nil, "ERR Syntax error in HELLO option '"+printable(args[i])+"'")
		}
	}
	if !loggedIn {
		return resp.AppendError(nil, "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time")
	}
	if s.guest != nil { // guest identifies the caller and tells whether the login is still valid
		loggedIn = true
	}
	s.respVersion, s.tenant, s.loggedIn, s.name = respVersion, tenant, loggedIn, name
	b := resp.AppendMapHeader(nil, 7, respVersion)
	for _, field := range [][2]string{{"server", "redis"}, {"version", redisVersion}, {"proto", ""}, {"id", ""}, {"mode", "cluster"}, {"role", "master"}, {"modules", ""}} {
		b = resp.AppendBulk(b, []byte(field[0]))
		switch field[0] {
		case "proto":
			b = resp.AppendInt(b, int64(respVersion))
		case "id":
			b = resp.AppendInt(b, int64(s.id))
		case "modules":
			b = resp.AppendArrayHeader(b, 0)
		default:
			b = resp.AppendBulk(b, []byte(field[1]))
		}
	}
	return b
}

// redisVersion is the Redis version that the router reports. Clients enable features according to it.
const redisVersion = "7.0.0"

var invalidNameError = resp.AppendError(nil, "ERR Client names cannot contain spaces, newlines or special characters.")

// maxClientNameBytes limits the name that a client may set.
const maxClientNameBytes = 64

func isValidClientName(n []byte) bool {
	return len(n) <= maxClientNameBytes && !bytes.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r > '~' })
}

// handleClient handles the CLIENT subcommands that name and describe a connection.
func handleClient(s *session, args [][]byte) []byte {
	switch sub := strings.ToUpper(string(args[1])); {
	case sub == "SETNAME" && len(args) == 3:
		if !isValidClientName(args[2]) {
			return invalidNameError
		}
		s.name = bytes.Clone(args[2])
		return resp.AppendSimple(nil, "OK")
	case sub == "GETNAME":
		if len(s.name) == 0 {
			return resp.AppendNull(nil, s.respVersion)
		}
		return resp.AppendBulk(nil, s.name)
	case sub == "ID":
		return resp.AppendInt(nil, int64(s.id))
	case sub == "SETINFO" && len(args) == 4, sub == "NO-EVICT" && len(args) == 3, sub == "NO-TOUCH" && len(args) == 3:
		return resp.AppendSimple(nil, "OK")
	case sub == "INFO" || sub == "LIST":
		return resp.AppendBulk(nil, fmt.Appendf(nil, "id=%d name=%s resp=%d\n", s.id, s.name, s.respVersion))
	}
	return resp.AppendError(nil, "ERR CLIENT "+printable(args[1])+" is not taken here; SETNAME, GETNAME, ID, INFO, SETINFO, NO-EVICT and NO-TOUCH are")
}

// handleCommand handles COMMAND and its subcommands COUNT, INFO, GETKEYS and DOCS.
func handleCommand(s *session, args [][]byte) []byte {
	names := make([]string, 0, len(commandSpecs))
	for n := range commandSpecs {
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
			b = appendCommandSpec(b, commandSpecs[n])
		}
		return b
	case "COUNT":
		return resp.AppendInt(nil, int64(len(names)))
	case "INFO":
		b := resp.AppendArrayHeader(nil, len(args)-2)
		for _, a := range args[2:] {
			if c := commandSpecs[strings.ToUpper(string(a))]; c != nil {
				b = appendCommandSpec(b, c)
			} else {
				b = resp.AppendNull(b, s.respVersion)
			}
		}
		return b
	case "DOCS":
		return resp.AppendMapHeader(nil, 0, s.respVersion)
	case "GETKEYS":
		return handleGetKeys(args[2:])
	}
	return resp.AppendError(nil, "ERR COMMAND "+printable(args[1])+" is not taken here")
}

func handleGetKeys(args [][]byte) []byte {
	if len(args) == 0 {
		return resp.AppendError(nil, "ERR wrong number of arguments for 'command|getkeys' command")
	}
	c := commandSpecs[strings.ToUpper(string(args[0]))]
	if c == nil || c.firstKey == 0 {
		return resp.AppendError(nil, "ERR The command has no key arguments")
	}
	keys := c.keys(args)
	b := resp.AppendArrayHeader(nil, len(keys))
	for _, k := range keys {
		b = resp.AppendBulk(b, k)
	}
	return b
}

func handleInfo(*session, [][]byte) []byte {
	return resp.AppendBulk(nil, []byte("# Server\r\nredis_version:"+redisVersion+"\r\nredis_mode:cluster\r\nserver_name:cottonyoke\r\n# Replication\r\nrole:master\r\n# Cluster\r\ncluster_enabled:1\r\n"))
}

// nodeID returns the cluster node ID of a router. It depends only on the address, so all routers compute
// the same ID.
func nodeID(addr string) string { return fmt.Sprintf("%x", sha1.Sum([]byte(addr))) }

// routerRanges is a router of the tier with the slot ranges that it currently serves.
type routerRanges struct {
	index      int
	isSelf     bool
	addr, host string
	port       int64
	ranges     [][2]int
}

// routerSlots returns all routers of the tier, by number, with the slot ranges that each serves.
func (p *Protocol) routerSlots() (out []routerRanges) {
	assignment := p.peers.assignment.Load()
	n := len(assignment.ServedBy)
	for i, addr := range assignment.Routers {
		host, port, _ := net.SplitHostPort(addr)
		portNumber, _ := strconv.ParseInt(port, 10, 64)
		entry := routerRanges{index: i, isSelf: i == assignment.Self, addr: addr, host: host, port: portNumber}
		for _, partition := range tier.PartitionsOf(assignment.ServedBy, i) {
			slotRange := [2]int{(partition*slots.Count + n - 1) / n, ((partition+1)*slots.Count+n-1)/n - 1}
			if last := len(entry.ranges) - 1; last >= 0 && entry.ranges[last][1]+1 == slotRange[0] {
				entry.ranges[last][1] = slotRange[1]
			} else {
				entry.ranges = append(entry.ranges, slotRange)
			}
		}
		out = append(out, entry)
	}
	return out
}

// servingRouters returns the routers that serve at least one slot.
func (p *Protocol) servingRouters() []routerRanges {
	return slices.DeleteFunc(p.routerSlots(), func(n routerRanges) bool { return len(n.ranges) == 0 })
}

// handleCluster handles the CLUSTER subcommands, which present the routers as the nodes of a cluster.
func handleCluster(s *session, args [][]byte) []byte {
	p := s.protocol
	switch sub := strings.ToUpper(string(args[1])); {
	case sub == "SLOTS":
		return p.clusterSlots()
	case sub == "SHARDS":
		return p.clusterShards(s.respVersion)
	case sub == "NODES":
		return resp.AppendBulk(nil, p.clusterNodes())
	case sub == "INFO":
		assignment := p.peers.assignment.Load()
		epoch := 1 + assignment.Version
		return resp.AppendBulk(nil, fmt.Appendf(nil, "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_slots_ok:%d\r\n"+
			"cluster_slots_pfail:0\r\ncluster_slots_fail:0\r\ncluster_known_nodes:%d\r\ncluster_size:%d\r\ncluster_current_epoch:%d\r\ncluster_my_epoch:%d\r\n",
			slots.Count, slots.Count, len(assignment.Routers), len(p.servingRouters()), epoch, epoch))
	case sub == "MYID":
		assignment := p.peers.assignment.Load()
		return resp.AppendBulk(nil, []byte(nodeID(assignment.Routers[assignment.Self])))
	case sub == "KEYSLOT" && len(args) == 3:
		return resp.AppendInt(nil, int64(slots.ForKey(args[2])))
	}
	return resp.AppendError(nil, "ERR CLUSTER "+printable(args[1])+" is not taken here; SLOTS, SHARDS, NODES, INFO, MYID and KEYSLOT are")
}

func (p *Protocol) clusterSlots() []byte {
	type ownedRange struct {
		routerRanges
		from, to int
	}
	var ranges []ownedRange
	for _, n := range p.routerSlots() {
		for _, r := range n.ranges {
			ranges = append(ranges, ownedRange{n, r[0], r[1]})
		}
	}
	slices.SortFunc(ranges, func(a, b ownedRange) int { return a.from - b.from })
	b := resp.AppendArrayHeader(nil, len(ranges))
	for _, n := range ranges {
		b = resp.AppendInt(resp.AppendInt(resp.AppendArrayHeader(b, 3), int64(n.from)), int64(n.to))
		b = resp.AppendBulk(resp.AppendInt(resp.AppendBulk(resp.AppendArrayHeader(b, 3), []byte(n.host)), n.port), []byte(nodeID(n.addr)))
	}
	return b
}

func (p *Protocol) clusterShards(respVersion int) []byte {
	routers := p.servingRouters()
	b := resp.AppendArrayHeader(nil, len(routers))
	appendString := func(t string) { b = resp.AppendBulk(b, []byte(t)) }
	for _, n := range routers {
		b = resp.AppendMapHeader(b, 2, respVersion)
		appendString("slots")
		b = resp.AppendArrayHeader(b, 2*len(n.ranges))
		for _, r := range n.ranges {
			b = resp.AppendInt(resp.AppendInt(b, int64(r[0])), int64(r[1]))
		}
		appendString("nodes")
		b = resp.AppendMapHeader(resp.AppendArrayHeader(b, 1), 7, respVersion)
		for _, field := range [][2]string{{"id", nodeID(n.addr)}, {"ip", n.host}, {"endpoint", n.host}, {"role", "master"}, {"health", "online"}} {
			appendString(field[0])
			appendString(field[1])
		}
		appendString("port")
		b = resp.AppendInt(b, n.port)
		appendString("replication-offset")
		b = resp.AppendInt(b, 0)
	}
	return b
}

// clusterNodes lists all routers. One that currently serves nothing is listed without slots, as it may
// return soon.
func (p *Protocol) clusterNodes() []byte {
	var b []byte
	epoch := 1 + p.peers.assignment.Load().Version
	for _, n := range p.routerSlots() {
		flags := "master"
		if n.isSelf {
			flags = "myself,master"
		}
		b = fmt.Appendf(b, "%s %s@%d %s - 0 0 %d connected", nodeID(n.addr), n.addr, n.port+10000, flags, epoch)
		for _, r := range n.ranges {
			b = fmt.Appendf(b, " %d-%d", r[0], r[1])
		}
		b = append(b, '\n')
	}
	return b
}
