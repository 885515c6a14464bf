//go:build race

package cedardoor

// sceneFleet is how many machines the large scene has. The race detector's work
// grows with the square of the goroutines, so that it looks at a quarter of them;
// scripts/test runs the scene in full without it, too.
const sceneFleet = 1000
