//go:build race

package cedardoor

// simulatedFleet is how many machines the large simulations have. The race detector's
// work grows with the square of the goroutines, so that it runs with a quarter of them;
// scripts/test runs the simulations in full without it, too.
const simulatedFleet = 1000
