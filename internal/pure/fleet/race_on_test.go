//go:build race

package fleet_test

// crowdSize is the number of routers that join within a second; the race detector makes each ten times as
// slow.
const crowdSize = 100
