package origin

import (
	"bufio"
	"bytes"
	"testing"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/meta"
)

func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, in []byte, write bool) {
		a, _, err := Protocol{}.ReadAnswer(bufio.NewReaderSize(bytes.NewReader(in), meta.MaxLine), "", &engine.Request{ID: "a1", Write: write}, engine.Try{}, func() {})
		if err == nil && len(a.Body) > meta.MaxValue {
			t.Errorf("%d bytes of %q", len(a.Body), in)
		}
	})
}
