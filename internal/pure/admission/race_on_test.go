//go:build race

package admission_test

// most routers are in the largest fleet that is played: the race detector makes each ten times as slow.
const most = 24
