//go:build !race

package admission_test

// maxFleetSize routers are in the largest fleet that is played.
const maxFleetSize = 100
