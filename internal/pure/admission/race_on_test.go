//go:build race

package admission_test

// maxFleetSize is the number of routers in the largest simulated fleet. The race detector makes each about
// ten times slower.
const maxFleetSize = 24
