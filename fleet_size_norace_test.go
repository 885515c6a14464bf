//go:build !race

package cedardoor

// simulatedFleet is how many machines the large simulations have.
const simulatedFleet = 4000
