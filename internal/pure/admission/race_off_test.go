//go:build !race

package admission_test

// maxFleetSize is the number of routers in the largest simulated fleet.
const maxFleetSize = 100
