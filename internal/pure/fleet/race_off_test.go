//go:build !race

package fleet_test

// crowdSize is what joins within a second.
const crowdSize = 300
