package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// dialect is what is spoken to targets.
type dialect interface {
	// request appends the request for a key.
	request(b []byte, id uint64, key int, write bool) []byte
	// answer reads one answer and books it.
	answer(r *bufio.Reader, c *Counts) error
}

func dialectOf(o *Options, t Target) dialect {
	value := bytes.Repeat([]byte("v"), o.Bytes)
	switch {
	case o.Protocol == "resp":
		return respDialect{value}
	case t.Classic:
		return classicDialect{value}
	}
	ms := o.Deadline.Milliseconds()
	return metaDialect{value, fmt.Sprintf(" Pc=%s,t=%s,d=%d\r\n", o.Class, o.Tenant, ms), fmt.Sprintf(" Pc=%s,t=%s,d=%d\r\n", o.Poll, o.Tenant, ms)}
}

// keyName is the name of a key: 16 digits.
func keyName(b []byte, key int) []byte {
	const digits = 16
	for i := range digits {
		d := digits - 1 - i
		b = append(b, "0123456789abcdef"[key>>(4*d)&15])
	}
	return b
}

type metaDialect struct {
	value       []byte
	read, write string
}

func (d metaDialect) request(b []byte, id uint64, key int, write bool) []byte {
	if write {
		b = append(keyName(append(b, "ms "...), key), ' ')
		b = append(strconv.AppendUint(append(strconv.AppendInt(b, int64(len(d.value)), 10), " O"...), id, 16), d.write...)
		return append(append(b, d.value...), "\r\n"...)
	}
	b = append(keyName(append(b, "mg "...), key), " v O"...)
	return append(strconv.AppendUint(b, id, 16), d.read...)
}

var errAnswer = errors.New("an answer that can't be read")

func (metaDialect) answer(r *bufio.Reader, c *Counts) error {
	l, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	switch l = bytes.TrimRight(l, "\r\n"); {
	case bytes.HasPrefix(l, []byte("VA ")):
		f, _, _ := bytes.Cut(l[3:], []byte(" "))
		n, err := strconv.Atoi(string(f))
		if err != nil || n < 0 || n > maxBytes {
			return fmt.Errorf("%w: %.40q", errAnswer, l)
		}
		if _, err := r.Discard(n + 2); err != nil {
			return err
		}
		c.Served++
	case bytes.HasPrefix(l, []byte("HD")):
		c.Served++
	case bytes.HasPrefix(l, []byte("EN")):
		c.Served++
		c.Absent++
	case bytes.HasPrefix(l, []byte("SERVER_ERROR busy")):
		c.Refused++
	case bytes.HasPrefix(l, []byte("SERVER_ERROR failed")):
		c.Failed++
	default:
		c.Odd++
	}
	return nil
}

// classicDialect is memcache's before the meta commands.
type classicDialect struct{ value []byte }

func (d classicDialect) request(b []byte, _ uint64, key int, write bool) []byte {
	if write {
		b = append(keyName(append(b, "set "...), key), " 0 0 "...)
		b = append(strconv.AppendInt(b, int64(len(d.value)), 10), "\r\n"...)
		return append(append(b, d.value...), "\r\n"...)
	}
	return append(keyName(append(b, "get "...), key), "\r\n"...)
}

func (classicDialect) answer(r *bufio.Reader, c *Counts) error {
	l, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	switch l = bytes.TrimRight(l, "\r\n"); {
	case bytes.HasPrefix(l, []byte("VALUE ")):
		n, err := strconv.Atoi(string(l[bytes.LastIndexByte(l, ' ')+1:]))
		if err != nil || n < 0 || n > maxBytes {
			return fmt.Errorf("%w: %.40q", errAnswer, l)
		}
		if _, err := r.Discard(n + len("\r\nEND\r\n")); err != nil {
			return err
		}
		c.Served++
	case bytes.Equal(l, []byte("STORED")):
		c.Served++
	case bytes.Equal(l, []byte("END")):
		c.Served++
		c.Absent++
	default:
		c.Odd++
	}
	return nil
}

type respDialect struct{ value []byte }

func (d respDialect) request(b []byte, _ uint64, key int, write bool) []byte {
	var name [16]byte
	k := keyName(name[:0], key)
	if write {
		return resp.AppendBulk(resp.AppendBulk(append(b, "*3\r\n$3\r\nSET\r\n"...), k), d.value)
	}
	return resp.AppendBulk(append(b, "*2\r\n$3\r\nGET\r\n"...), k)
}

func (respDialect) answer(r *bufio.Reader, c *Counts) error {
	l, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	if l = bytes.TrimRight(l, "\r\n"); len(l) == 0 {
		return errAnswer
	}
	switch l[0] {
	case '$':
		n, err := strconv.Atoi(string(l[1:]))
		if err != nil || n < -1 || n > maxBytes {
			return fmt.Errorf("%w: %.40q", errAnswer, l)
		}
		c.Served++
		if n < 0 {
			c.Absent++
			return nil
		}
		_, err = r.Discard(n + 2)
		return err
	case '+', ':', '_':
		c.Served++
	case '-':
		switch {
		case bytes.HasPrefix(l, []byte("-TRYAGAIN")), bytes.HasPrefix(l, []byte("-LOADING")):
			c.Refused++
		case bytes.HasPrefix(l, []byte("-ERR failed")):
			c.Failed++
		default:
			c.Odd++
		}
	default:
		return fmt.Errorf("%w: %.40q", errAnswer, l)
	}
	return nil
}

// route is which of several addresses a key goes to.
type route struct {
	addrs []string
	of    *[slots.Count]int // by slot; nil = there is one address
}

func (r *route) to(key int) int {
	if r.of == nil {
		return 0
	}
	var name [16]byte
	return r.of[slots.ForKey(keyName(name[:0], key))]
}

// routeOf asks a cluster for its slots.
func routeOf(ctx context.Context, t Target) (*route, error) {
	if !t.Cluster {
		return &route{addrs: []string{t.Addr}}, nil
	}
	c, in, err := t.connect(ctx, t.Addr, "resp")
	if err != nil {
		return nil, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := c.Write(resp.AppendCommand(nil, []byte("CLUSTER"), []byte("SLOTS"))); err != nil {
		return nil, err
	}
	out, index := &route{of: new([slots.Count]int)}, map[string]int{}
	covered := 0
	err = resp.NewReader(in).ReadItems(slots.Count, func(run resp.Reply) error {
		if len(run.Items) < 3 || len(run.Items[2].Items) < 2 {
			return errAnswer
		}
		from, err1 := strconv.Atoi(string(run.Items[0].Text))
		to, err2 := strconv.Atoi(string(run.Items[1].Text))
		if err1 != nil || err2 != nil || from < 0 || to >= slots.Count {
			return errAnswer
		}
		at := net.JoinHostPort(string(run.Items[2].Items[0].Text), string(run.Items[2].Items[1].Text))
		if err := loopback(at); err != nil {
			return err
		}
		if _, ok := index[at]; !ok {
			index[at] = len(out.addrs)
			out.addrs = append(out.addrs, at)
		}
		for s := from; s <= to; s++ {
			out.of[s] = index[at]
			covered++
		}
		return nil
	})
	if err == nil && covered != slots.Count {
		err = fmt.Errorf("the map covers %d of %d slots", covered, slots.Count)
	}
	return out, err
}
