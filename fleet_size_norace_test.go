//go:build !race

package cedardoor

// sceneFleet is how many machines the large scene has.
const sceneFleet = 4000
