// Command lossplot plots measurements of recoveries after a total loss, which the root package's tests
// write when the flag -loss.plot is set. It writes the plots as images and a page that shows them all.
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

// point is the progress of a recovery at a moment.
type point struct {
	AtS                           float64
	Awaited, Reconciled, Replicas int
}

// measurements holds the measurements of one recovery. JSON matches its fields by name with those of
// lossMeasurements in the root package's tests.
type measurements struct {
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
		return errors.New("usage: lossplot MEASUREMENTS.jsonl DIRECTORY")
	}
	in, err := os.Open(args[0])
	if err != nil {
		return fmt.Errorf("measurements: %w", err)
	}
	defer in.Close()
	recoveries, err := read(in)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(args[1], 0o755); err != nil {
		return fmt.Errorf("output directory: %w", err)
	}
	return draw(args[1], recoveries)
}

// read reads measurements in JSON, one recovery per line, and sorts them by scenario.
func read(r io.Reader) (recoveries []measurements, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var f measurements
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(recoveries)+1, err)
		}
		recoveries = append(recoveries, f)
	}
	if len(recoveries) == 0 && lines.Err() == nil {
		return nil, errors.New("no measurements")
	}
	slices.SortStableFunc(recoveries, func(a, b measurements) int { return cmp.Compare(a.Scene, b.Scene) })
	return recoveries, lines.Err()
}

// Size of each image.
const (
	width  = 24 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// draw writes all images and the page.
func draw(dir string, recoveries []measurements) error {
	page := "<!doctype html><title>Recovery after a total loss</title>\n"
	addImage := func(name string, p *plot.Plot, err error) error {
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		page += fmt.Sprintf("<p><img src=%q alt=%q>\n", name, html.EscapeString(p.Title.Text))
		return p.Save(width, height, filepath.Join(dir, name))
	}
	p, err := bars(recoveries, "Seconds from the first controller's return", []bar{
		{"first command", func(f measurements) float64 { return f.FirstOrderS }},
		{"90% of machines reconciled", func(f measurements) float64 { return f.MostReconciled }},
		{"all machines reconciled", func(f measurements) float64 { return f.AllReconciled }},
		{"all replicas running", func(f measurements) float64 { return f.AllGoingS }},
	})
	if err := addImage("times.svg", p, err); err != nil {
		return err
	}
	p, err = bars(recoveries, "Commands and requests within 30 s of the return", []bar{
		{"starts", func(f measurements) float64 { return float64(f.Commands.Runs) }},
		{"stops", func(f measurements) float64 { return float64(f.Commands.Halts) }},
		{"rentals", func(f measurements) float64 { return float64(f.Commands.Rentals) }},
		{"machines returned", func(f measurements) float64 { return float64(f.Commands.Returns) }},
		{"state service requests", func(f measurements) float64 { return float64(f.StateRequests) }},
	})
	if err := addImage("commands.svg", p, err); err != nil {
		return err
	}
	for i, f := range recoveries {
		p, err := progress(f)
		if err := addImage(fmt.Sprintf("progress-%02d.svg", i+1), p, err); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "index.html"), []byte(page), 0o644)
}

// bar is a value to compare across recoveries.
type bar struct {
	name  string
	value func(f measurements) float64
}

// bars returns a bar chart that compares values of all recoveries.
func bars(recoveries []measurements, title string, compared []bar) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	barWidth := vg.Points(200 / float64(len(recoveries)*len(compared)+1))
	for i, b := range compared {
		values := make(plotter.Values, 0, len(recoveries))
		for _, f := range recoveries {
			values = append(values, b.value(f))
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * vg.Length(2*i-len(compared)+1) / 2
		p.Add(chart)
		p.Legend.Add(b.name, chart)
	}
	names := make([]string, 0, len(recoveries))
	for _, f := range recoveries {
		names = append(names, f.Scene)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.3
	p.X.Tick.Label.XAlign = -1
	p.X.Padding = vg.Centimeter
	return p, nil
}

// progress returns a line chart of the progress of one recovery over time.
func progress(f measurements) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d machines", f.Scene, f.Machines)
	p.X.Label.Text = "seconds from the first controller's return"
	lineOf := func(value func(p point) int) plotter.XYs {
		line := make(plotter.XYs, 0, len(f.Progress))
		for _, sample := range f.Progress {
			line = append(line, plotter.XY{X: sample.AtS, Y: float64(value(sample))})
		}
		return line
	}
	err := plotutil.AddLines(p,
		"machines awaited", lineOf(func(p point) int { return p.Awaited }),
		"machines reconciled", lineOf(func(p point) int { return p.Reconciled }),
		"replicas running", lineOf(func(p point) int { return p.Replicas }))
	return p, err
}
