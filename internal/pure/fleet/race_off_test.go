//go:build !race

package fleet_test

// crowdSize is the number of routers that join within a second.
const crowdSize = 300
