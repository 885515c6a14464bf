// Command lossplot draws the figures of recoveries after a total loss, as the scenes and the
// measurement on loopback write them with -loss.plot: pictures, and a page that shows them all.
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"html"
	"io"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// point is how far a recovery was at a moment.
type point struct {
	AtS                           float64
	Awaited, Reconciled, Replicas int
}

// figures are what one recovery took; see lossFigures in the project's tests.
type figures struct {
	Scene          string
	Machines       int
	FirstOrderS    float64
	MostReconciled float64
	AllReconciled  float64
	AllGoingS      float64
	Commands       struct{ Runs, Halts, Forgets, Rentals, Returns int }
	StateRequests  int
	StateChanges   int
	Progress       []point
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lossplot:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: lossplot FIGURES.jsonl FOLDER")
	}
	in, err := os.Open(args[0])
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	defer in.Close()
	scenes, err := read(in)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(args[1], 0o755); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	return draw(args[1], scenes)
}

// read reads the figures, a line each.
func read(r io.Reader) (scenes []figures, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var f figures
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(scenes)+1, err)
		}
		scenes = append(scenes, f)
	}
	if len(scenes) == 0 && lines.Err() == nil {
		return nil, errors.New("no figures")
	}
	slices.SortStableFunc(scenes, func(a, b figures) int { return cmp.Compare(a.Scene, b.Scene) })
	return scenes, lines.Err()
}

// The size of each picture.
const (
	width  = 24 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// draw makes all pictures and the page.
func draw(folder string, scenes []figures) error {
	page := "<!doctype html><title>Recovery after a total loss</title>\n"
	add := func(name string, p *plot.Plot, err error) error {
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		page += fmt.Sprintf("<p><img src=%q alt=%q>\n", name, html.EscapeString(p.Title.Text))
		return p.Save(width, height, filepath.Join(folder, name))
	}
	p, err := bars(scenes, "Seconds from the first controller's return", []bar{
		{"first command", func(f figures) float64 { return f.FirstOrderS }},
		{"nine tenths of machines", func(f figures) float64 { return f.MostReconciled }},
		{"all machines", func(f figures) float64 { return f.AllReconciled }},
		{"all work going on", func(f figures) float64 { return f.AllGoingS }},
	})
	if err := add("times.svg", p, err); err != nil {
		return err
	}
	p, err = bars(scenes, "Commands and requests within 30 s of the return", []bar{
		{"starts", func(f figures) float64 { return float64(f.Commands.Runs) }},
		{"stops", func(f figures) float64 { return float64(f.Commands.Halts) }},
		{"rentals", func(f figures) float64 { return float64(f.Commands.Rentals) }},
		{"machines returned", func(f figures) float64 { return float64(f.Commands.Returns) }},
		{"reads and changes", func(f figures) float64 { return float64(f.StateRequests) }},
	})
	if err := add("commands.svg", p, err); err != nil {
		return err
	}
	for i, f := range scenes {
		p, err := progress(f)
		if err := add(fmt.Sprintf("progress-%02d.svg", i+1), p, err); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(folder, "index.html"), []byte(page), 0o644)
}

// bar is one value of each scene.
type bar struct {
	name  string
	value func(f figures) float64
}

// bars compares values of all scenes.
func bars(scenes []figures, title string, list []bar) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	thick := vg.Points(200 / float64(len(scenes)*len(list)+1))
	for i, b := range list {
		values := make(plotter.Values, 0, len(scenes))
		for _, f := range scenes {
			values = append(values, b.value(f))
		}
		chart, err := plotter.NewBarChart(values, thick)
		if err != nil {
			return nil, err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = thick * vg.Length(2*i-len(list)+1) / 2
		p.Add(chart)
		p.Legend.Add(b.name, chart)
	}
	names := make([]string, 0, len(scenes))
	for _, f := range scenes {
		names = append(names, f.Scene)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.3
	p.X.Tick.Label.XAlign = -1
	p.X.Padding = vg.Centimeter
	return p, nil
}

// progress shows one recovery over time.
func progress(f figures) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d machines", f.Scene, f.Machines)
	p.X.Label.Text = "seconds from the first controller's return"
	of := func(value func(p point) int) plotter.XYs {
		line := make(plotter.XYs, 0, len(f.Progress))
		for _, at := range f.Progress {
			line = append(line, plotter.XY{X: at.AtS, Y: float64(value(at))})
		}
		return line
	}
	err := plotutil.AddLines(p,
		"machines awaited", of(func(p point) int { return p.Awaited }),
		"machines reconciled", of(func(p point) int { return p.Reconciled }),
		"tasks running", of(func(p point) int { return p.Replicas }))
	return p, err
}
