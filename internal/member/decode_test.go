package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// largestFleet is the number of entries of the largest fleet, of which six in ten servers are being replaced.
const largestFleet = 3200 + 3200*6/10

func largeList(n int) List {
	l := List{Version: 41, Full: true}
	for i := range n {
		l.Servers = append(l.Servers, Entry{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:11211", i>>16, i>>8&255, i&255), Zone: "zone-a", Kind: "std",
			Cell: i / 8, State: "active", Weight: 1.25, Started: 1765000000000})
	}
	return l
}

// Guards against a router that never learns of a change: a list of over 1 MiB was cut there and refused each time.
func TestListsOfTheLargestFleetAreTakenWithAnyIndent(t *testing.T) {
	want := largeList(largestFleet)
	for _, indent := range []string{"", " ", "  ", "    ", "\t", strings.Repeat(" ", 16)} {
		text, err := json.MarshalIndent(want, "", indent)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeList(strings.NewReader(string(text)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("indent %q, %d bytes: %d servers, %v", indent, len(text), len(got.Servers), err)
		}
	}
}

// Guards against memory without bound for a list without end, and an error that does not say what is wrong.
func TestListsBeyondTheBoundsAreRefused(t *testing.T) {
	servers, err := json.Marshal(largeList(maxListServers + 1))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"too many servers": {string(servers), errListTooLarge},
		"too long":         {`{"version":1,"servers":[]}` + strings.Repeat(" ", maxListBytes), errListTooLong},
		"long name":        {`{"` + strings.Repeat("x", maxListBytes) + `":1}`, errListTooLong},
		"something behind": {`{"version":1,"servers":[]} {}`, errListStructure},
		"a list in it":     {`[]`, errListStructure},
		"servers a number": {`{"servers":1}`, errListStructure},
	} {
		if l, err := decodeList(strings.NewReader(c.text)); !errors.Is(err, c.want) || l.Servers != nil {
			t.Errorf("%s: %d servers, %v, want %v", name, len(l.Servers), err, c.want)
		}
	}
}

// Reading entry by entry takes what json.Unmarshal takes, and refuses what it refuses.
func TestListsAreReadAsByUnmarshal(t *testing.T) {
	for _, text := range []string{
		`{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"active","weight":0.5,"started_ms":7}]}`,
		`{"servers":[],"version":2}`, `{"servers":null,"version":2}`, `{"Version":3,"FULL":true}`, `{}`, ` {"version" : 4 , "other":{"a":[1,{}]} } `,
		`{"version":5,"version":6}`, `{"servers":[{"id":"a"}],"servers":[{"id":"b"}]}`, `{"servers":[null]}`,
		``, `{`, `{"version"`, `{"version":1`, `{"version":"x"}`, `{"servers":[`, `{"servers":[{"id":1}]}`, `{"servers":[{]}`, `{"servers":{}}`, `{"version":1,}`, `{"version":1}x`, `null x`,
	} {
		var want List
		wantErr := json.Unmarshal([]byte(text), &want)
		got, err := decodeList(strings.NewReader(text))
		if (err == nil) != (wantErr == nil) {
			t.Errorf("%s: %v, with Unmarshal %v", text, err, wantErr)
		}
		if err == nil && (got.Version != want.Version || got.Full != want.Full || len(got.Servers) != len(want.Servers) ||
			len(got.Servers) > 0 && !reflect.DeepEqual(got.Servers, want.Servers)) {
			t.Errorf("%s: %+v, with Unmarshal %+v", text, got, want)
		}
	}
}

// Guards against a router whose calls are answered with a list of over 1 MiB, and which holds none.
func TestListOfTheLargestFleetComesFromDiscovery(t *testing.T) {
	text, err := json.MarshalIndent(largeList(largestFleet), "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := startScriptedDiscovery(t, string(text))
	lists := make(chan List, 1)
	d := NewDiscovery(addr, true, -1, func(l List) { lists <- l }, func() {})
	d.RequestWatch()
	done := make(chan struct{})
	go func() { defer close(done); d.Run(t.Context()) }()
	t.Cleanup(func() { <-done })
	select {
	case l := <-lists:
		if len(l.Servers) != largestFleet {
			t.Errorf("%d servers of %d", len(l.Servers), largestFleet)
		}
	case <-time.After(10 * time.Second):
		t.Error("no list")
	}
}

// BenchmarkDecodeList reports the time and memory of the largest list.
func BenchmarkDecodeList(b *testing.B) {
	text, err := json.MarshalIndent(largeList(largestFleet), "", "    ")
	if err != nil {
		b.Fatal(err)
	}
	b.Run("by entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := decodeList(strings.NewReader(string(text))); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("Unmarshal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var l List
			if err := json.Unmarshal(text, &l); err != nil {
				b.Fatal(err)
			}
		}
	})
}
