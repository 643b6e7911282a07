// Package origin implements HTTP/1.1 for connections to the origin.
package origin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/settings"
)

const (
	maxHeaderBytes   = 16 << 10 // size of a status line and headers
	maxInformational = 8        // 1xx responses ahead of the final response
)

// Protocol implements backend.Protocol.
type Protocol struct {
	StreamLongValues bool // leave the bodies of long values unread, for the caller to stream
	NotFoundAsAbsent bool // treat status 404 to a read as a valid answer "no value" rather than as a failure
}

// cacheResultNoValue is the cache result of an answer without a value (NotFoundAsAbsent).
const cacheResultNoValue = 4

// Command encodes a request as HTTP. The deadline among its facts is the time that the client has left.
func (Protocol) Command(addr string, q *engine.Request, try engine.Try) ([]byte, error) {
	facts := string(meta.AppendFacts(nil, q.Facts, try.DeadlineMS))
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/" + q.Key},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: addr,
		Header: http.Header{"X-Correlation-Id": {q.ID}, "X-Facts": {facts}, "User-Agent": {""}}}
	if q.Write {
		r.Method, r.ContentLength, r.Body = http.MethodPut, int64(len(q.Value)), io.NopCloser(bytes.NewReader(q.Value))
	}
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return nil, fmt.Errorf("origin request: %w", err)
	}
	return b.Bytes(), nil
}

// Preamble returns nil: HTTP needs no connection setup.
func (Protocol) Preamble() []byte { return nil }

// ReadPreambleReply reads nothing, as there is no preamble.
func (Protocol) ReadPreambleReply(*bufio.Reader) error { return nil }

// Probe returns the request for the load.
func (Protocol) Probe(addr string) string { return "GET /load HTTP/1.1\r\nHost: " + addr + "\r\n\r\n" }

// Barrier returns nil: no response repeats a part of its request.
func (Protocol) Barrier(uint64) []byte { return nil }

// ReadBarrierReply reads nothing, as there is no barrier.
func (Protocol) ReadBarrierReply(*bufio.Reader, uint64) (bool, error) { return false, nil }

// readHead reads a status line and headers of at most maxHeaderBytes. net/http sets no limit here.
func readHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull || len(head)+len(line) > maxHeaderBytes {
			return nil, meta.Malformed("origin head too long")
		}
		if err != nil {
			return nil, fmt.Errorf("origin answer: %w", err)
		}
		if len(head) == 0 && !bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return nil, meta.Malformed("origin answer %.40q", line)
		}
		// Replace control characters, so that a malformed load report does not spoil the answer: net/http
		// would reject the whole response because of one byte.
		for i, b := range line[:len(line)-1] {
			if (b < ' ' || b == 0x7f) && b != '\t' && b != '\r' {
				line[i] = '?'
			}
		}
		if head = append(head, line...); len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}

// readResponse reads an answer of the origin with its body, unless the body is to be streamed. The body is
// read here because the Close of net/http would read an unwanted one to its end, however long that is. head is
// called once the headers are read.
func readResponse(r *bufio.Reader, method string, long bool, head func()) (*http.Response, []byte, error) {
	for range maxInformational {
		text, err := readHead(r)
		if err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(text), len(text)), &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, nil, meta.Malformed("origin answer: %v", err)
		case resp.StatusCode >= 200:
			head()
			if n := resp.ContentLength; long && resp.StatusCode == http.StatusOK && n > meta.MaxValue && n <= meta.MaxLongValue {
				return resp, nil, nil
			}
			body, err := readBody(r, resp)
			return resp, body, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, meta.Malformed("origin answer: status %d", resp.StatusCode)
		}
	}
	return nil, nil, meta.Malformed("over %d provisional answers", maxInformational)
}

// readBody reads the body that the headers announce. A body without a length ends with the connection; a
// reset of the connection is an error, not an end.
func readBody(r *bufio.Reader, resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	chunked := slices.Contains(resp.TransferEncoding, "chunked")
	if n < 0 && !chunked {
		return readToEnd(r)
	}
	if n > meta.MaxValue {
		return nil, meta.Malformed("origin value of %d bytes", n)
	}
	body := make([]byte, max(n, 0))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("origin answer: %w", err)
	}
	if !chunked {
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r), meta.MaxValue+1))
	if err != nil || len(body) > meta.MaxValue {
		return nil, meta.Malformed("origin value in chunks of %d bytes or more: %v", len(body), err)
	}
	for { // trailers
		line, err := meta.ReadLine(r)
		if err != nil || len(line) == 0 {
			return body, err
		}
	}
}

// readToEnd reads a body that ends when the server closes the connection.
func readToEnd(r *bufio.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, meta.MaxValue+1))
	if err != nil {
		return nil, fmt.Errorf("origin answer: %w", err)
	}
	if len(body) > meta.MaxValue {
		return nil, meta.Malformed("origin value without a length of over %d bytes", meta.MaxValue)
	}
	return body, nil
}

// ReadAnswer reads the answer to a request. Nothing in it names the request.
func (p Protocol) ReadAnswer(in *bufio.Reader, _ string, q *engine.Request, _ engine.Try, head func()) (a engine.Reply, reuse engine.Reuse, err error) {
	a.Load = decide.NoLoad
	method := http.MethodGet
	if q.Write {
		method = http.MethodPut
	}
	resp, body, err := readResponse(in, method, p.StreamLongValues && !q.Write, head)
	if err != nil {
		return a, engine.NoReuse, err
	}
	a.Body, a.Load = body, settings.ParseLoad(resp.Header.Get("X-Backend-Load"))
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		if a.Status = decide.OK; body == nil && resp.ContentLength > 0 {
			a.UnreadBytes = int(resp.ContentLength)
		}
		if q.Write && !isReceipt(a.Body) {
			return a, engine.NoReuse, meta.Malformed("receipt %.40q", a.Body)
		}
	case code == http.StatusNotFound && p.NotFoundAsAbsent && !q.Write:
		a.Status, a.Body, a.Absent, a.CacheResult = decide.OK, nil, true, cacheResultNoValue
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		a.Status = decide.QueueFull
	default: // also 503 without the X-Unprocessed header: the request may have run
		a.Status = decide.Failed
	}
	return a, reuseOf(resp), nil
}

// reuseOf tells whether the connection of a response may be used again.
func reuseOf(resp *http.Response) engine.Reuse {
	if resp.Close {
		return engine.NoReuse
	}
	return engine.UnnamedAnswer
}

// isReceipt reports whether a write receipt can be sent within the line of an answer.
func isReceipt(b []byte) bool {
	return len(b) > 0 && len(b) < meta.MaxLine/2 && !bytes.ContainsFunc(b, func(r rune) bool { return r <= ' ' || r > '~' })
}

// ReadLoad reads the answer to a probe.
func (Protocol) ReadLoad(r *bufio.Reader) (decide.Load, engine.Reuse, error) {
	resp, _, err := readResponse(r, http.MethodGet, false, func() {})
	if err != nil {
		return decide.NoLoad, engine.NoReuse, err
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return decide.NoLoad, engine.NoReuse, meta.Malformed("origin load: status %d", resp.StatusCode)
	}
	return settings.ParseLoad(resp.Header.Get("X-Backend-Load")), reuseOf(resp), nil
}
