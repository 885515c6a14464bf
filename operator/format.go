package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Format is an output format for reports.
type Format string

// Supported output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// ParseFormat parses the value of the --output flag.
func ParseFormat(value string) (Format, error) {
	switch format := Format(value); format {
	case FormatTable, FormatJSON:
		return format, nil
	}
	return "", fmt.Errorf("--output: %q is not %s or %s", value, FormatTable, FormatJSON)
}

func printJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// newTable returns a writer that aligns tab-separated cells in columns.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// decimal formats a number with as few digits as represent it exactly.
func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// optionalDecimal formats a number, and zero as "none".
func optionalDecimal(v float64) string {
	if v == 0 {
		return "none"
	}
	return decimal(v)
}

// optionalSeconds formats a duration in seconds, and zero as "-".
func optionalSeconds(seconds float64) string {
	if seconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", seconds)
}
