package engine

import (
	"hash/fnv"
	"io"
	"strconv"
)

// keyID maps a key to the module's number. All routers must map alike, as the module hashes it: 16 hex digits are the number
// that the simulator's wire gives.
func keyID(key string) uint64 {
	if v, err := strconv.ParseUint(key, 16, 64); err == nil && len(key) == 16 {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}
