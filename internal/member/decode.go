package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Bounds of a list in the JSON form of the discovery service. The text is read entry by entry, so that a list takes the
// memory of its entries alone, however it is indented.
const (
	maxListBytes   = 8 << 20
	maxListServers = 10000 // three times the largest fleet
)

// The errors of a list that is too long.
var (
	errListTooLong   = fmt.Errorf("list of over %d bytes", maxListBytes)
	errListTooLarge  = fmt.Errorf("list of over %d servers", maxListServers)
	errListStructure = errors.New("list is not a JSON object of the discovery service")
)

// decodeList reads a list up to the end of r.
func decodeList(r io.Reader) (List, error) {
	limited := &io.LimitedReader{R: r, N: maxListBytes}
	in := json.NewDecoder(limited)
	l, err := decodeObject(in)
	if err == nil {
		_, err = in.Token()
		switch {
		case err == nil:
			err = errListStructure // something follows it
		case errors.Is(err, io.EOF):
			err = nil
		}
	}
	if limited.N == 0 {
		return List{}, errListTooLong
	}
	if err != nil {
		return List{}, err
	}
	return l, nil
}

// decodeObject reads the object of a list. As with json.Unmarshal, names match in any case, and unknown ones are passed over.
func decodeObject(in *json.Decoder) (l List, err error) {
	if err := expect(in, json.Delim('{')); err != nil {
		return l, err
	}
	for in.More() {
		name, err := in.Token()
		if err != nil {
			return l, err //nolint:wrapcheck // the caller wraps it
		}
		switch text, _ := name.(string); strings.ToLower(text) { //nolint:errcheck // the decoder lets nothing else pass
		case "version":
			err = in.Decode(&l.Version)
		case "full":
			err = in.Decode(&l.Full)
		case "servers":
			l.Servers, err = decodeServers(in)
		default:
			err = in.Decode(&json.RawMessage{})
		}
		if err != nil {
			return l, err //nolint:wrapcheck // as above
		}
	}
	return l, expect(in, json.Delim('}'))
}

// decodeServers reads the entries of a list, or null.
func decodeServers(in *json.Decoder) (servers []Entry, err error) {
	begin, err := in.Token()
	if begin == nil || err != nil {
		return nil, err //nolint:wrapcheck // as above
	}
	if begin != json.Delim('[') {
		return nil, errListStructure
	}
	for in.More() {
		if len(servers) == maxListServers {
			return nil, errListTooLarge
		}
		var e Entry
		if err := in.Decode(&e); err != nil {
			return nil, err //nolint:wrapcheck // as above
		}
		servers = append(servers, e)
	}
	return servers, expect(in, json.Delim(']'))
}

// expect reads a delimiter.
func expect(in *json.Decoder, want json.Delim) error {
	got, err := in.Token()
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err //nolint:wrapcheck // as above
	case got != want:
		return errListStructure
	}
	return nil
}
