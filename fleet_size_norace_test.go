//go:build !race

package cedardoor

// simulatedFleet is how many machines the large scene has.
const simulatedFleet = 4000
