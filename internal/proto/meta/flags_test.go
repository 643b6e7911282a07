package meta

import (
	"bufio"
	"strings"
	"testing"
)

// Guards against an unsafe request that runs twice: a part of an earlier answer that came once more ahead of the
// answer made that a miss, which proves that nothing has run.
func TestAnswerBehindAPartOfAnotherProvesNothing(t *testing.T) {
	earlier := []string{"EN Ob2 h0 Lrps=1\r\n", "VA 5 Ob2 h1\r\nhello\r\n", "HD Ob2 c7\r\n", "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"}
	answers := map[string]string{"mg": "VA 5 Oa1 h1 Lrps=2\r\nhello\r\n", "ms": "HD Oa1 c9\r\n"}
	for verb, answer := range answers {
		for _, copied := range earlier {
			for n := 1; n < len(copied); n++ {
				in := bufio.NewReaderSize(strings.NewReader(copied[:n]+answer), MaxLine)
				a, err := ReadAnswer(in, &Command{Verb: verb, ID: "a1"}, func() {})
				if err == nil && (a.Kind == Miss || a.Kind == Done) {
					t.Errorf("%s: %q was read as kind %d, %q", verb, copied[:n]+answer, a.Kind, a.Body)
				}
			}
		}
	}
}
