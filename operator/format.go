package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Format is an output format of commands.
type Format string

// The output formats.
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

// newTable makes a writer that aligns the cells of tables, which are separated by tabs.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// decimal formats a number with as many digits as it has.
func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// optionalDecimal formats a number of which zero means that there is none.
func optionalDecimal(v float64) string {
	if v == 0 {
		return "none"
	}
	return decimal(v)
}

// optionalSeconds formats a duration of which zero means that there is none.
func optionalSeconds(seconds float64) string {
	if seconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", seconds)
}
