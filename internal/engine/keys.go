package engine

import (
	"hash/fnv"
	"io"
	"strconv"
)

// keyID maps a key to the number used by package decide. All routers must map alike, because the Balancer
// hashes the number. A key of 16 hex digits is the number itself, as in the simulator's protocol.
func keyID(key string) uint64 {
	if v, err := strconv.ParseUint(key, 16, 64); err == nil && len(key) == 16 {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}
