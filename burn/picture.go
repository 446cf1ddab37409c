package burn

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"

	"mangohill.example/mangohill/controlapi"
)

// Sizes in the picture, in pixels.
const (
	labelWidth = 260
	plotWidth  = 520
	valueWidth = 140
	barHeight  = 14
	barGap     = 4
	groupGap   = 14
	topMargin  = 48
	pageWidth  = labelWidth + plotWidth + valueWidth
)

// Ends of the logarithmic axis of burn rates; values beyond them are clamped.
const (
	minAxisBurnRate = 0.01
	maxAxisBurnRate = 1000.0
)

// alertThresholds are the burn rates at which the alert rules fire, drawn as lines.
var alertThresholds = []float64{1, 6, 14.4}

// bar is a bar of the picture: one row of the report.
type bar struct {
	service  string
	goal     string
	window   string
	burnRate float64
	alert    string
}

// WriteSVG draws the rows of a report as bars on a logarithmic axis, with the
// thresholds of the alerts as lines.
func WriteSVG(w io.Writer, rows []controlapi.Row) error {
	_, err := io.WriteString(w, svg(barsOf(rows)))
	return err
}

// WriteHTML writes an HTML page with the picture and a table of the rows.
func WriteHTML(w io.Writer, rows []controlapi.Row) error {
	var out strings.Builder
	out.WriteString("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n")
	out.WriteString("<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}</style></head><body>\n")
	out.WriteString("<h1>Service-level burn</h1>\n")
	out.WriteString(svg(barsOf(rows)))
	out.WriteString("<table>\n")
	for i, row := range rows {
		if i == 0 {
			writeCells(&out, "th", fieldNames(row))
		}
		writeCells(&out, "td", fieldValues(row))
	}
	out.WriteString("</table></body></html>\n")
	_, err := io.WriteString(w, out.String())
	return err
}

func writeCells(out *strings.Builder, element string, cells []string) {
	out.WriteString("<tr>")
	for _, cell := range cells {
		fmt.Fprintf(out, "<%s>%s</%s>", element, html.EscapeString(cell), element)
	}
	out.WriteString("</tr>\n")
}

func fieldNames(row controlapi.Row) []string {
	var list []string
	for _, field := range row {
		list = append(list, field.Name)
	}
	return list
}

func fieldValues(row controlapi.Row) []string {
	var list []string
	for _, field := range row {
		list = append(list, fmt.Sprint(field.Value))
	}
	return list
}

func barsOf(rows []controlapi.Row) []bar {
	var bars []bar
	for _, row := range rows {
		bars = append(bars, bar{
			service:  stringField(row, "service"),
			goal:     stringField(row, "goal"),
			window:   stringField(row, "window"),
			burnRate: numberField(row, "burn"),
			alert:    stringField(row, "alert"),
		})
	}
	return bars
}

func stringField(row controlapi.Row, name string) string {
	value, _ := row.Get(name).(string)
	return value
}

// numberField returns a number that JSON may have decoded as an integer.
func numberField(row controlapi.Row, name string) float64 {
	switch value := row.Get(name).(type) {
	case float64:
		return value
	case int64:
		return float64(value)
	}
	return 0
}

func svg(bars []bar) string {
	var out strings.Builder
	height := topMargin + len(bars)*(barHeight+barGap) + countGroupGaps(bars)*groupGap
	fmt.Fprintf(&out, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", pageWidth, height)
	fmt.Fprintf(&out, "<text x=\"0\" y=\"14\" font-size=\"13\">Burn rate of the error budget (1 uses it up in %d days)</text>\n", int(BudgetPeriod.Hours()/24))
	for _, threshold := range alertThresholds {
		x := labelWidth + axisPosition(threshold)
		fmt.Fprintf(&out, "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#888\" stroke-dasharray=\"3 3\"/>\n", x, topMargin-8, x, height)
		fmt.Fprintf(&out, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" fill=\"#555\">%v</text>\n", x, topMargin-12, threshold)
	}
	y := topMargin
	for i, b := range bars {
		if i > 0 && newGroup(bars[i-1], b) {
			y += groupGap
		}
		drawBar(&out, b, y)
		y += barHeight + barGap
	}
	out.WriteString("</svg>\n")
	return out.String()
}

func drawBar(out *strings.Builder, b bar, y int) {
	label := html.EscapeString(fmt.Sprintf("%s, %s, %s", b.service, b.goal, b.window))
	value := fmt.Sprintf("%.4g", b.burnRate)
	if b.alert != "" {
		value += ", " + b.alert + " alert"
	}
	baseline := y + barHeight - 3
	fmt.Fprintf(out, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>\n", labelWidth-8, baseline, label)
	width := axisPosition(b.burnRate)
	fmt.Fprintf(out, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>\n", labelWidth, y, width, barHeight, color(b.alert))
	fmt.Fprintf(out, "<text x=\"%d\" y=\"%d\">%s</text>\n", labelWidth+width+6, baseline, html.EscapeString(value))
}

func color(alert string) string {
	switch Alert(alert) {
	case AlertFast:
		return "#b3261e"
	case AlertSlow:
		return "#c77700"
	}
	return "#3f6fa8"
}

// axisPosition returns the position of a burn rate on the axis, in pixels.
func axisPosition(burnRate float64) int {
	if burnRate <= minAxisBurnRate {
		return 0
	}
	share := math.Log(min(burnRate, maxAxisBurnRate)/minAxisBurnRate) / math.Log(maxAxisBurnRate/minAxisBurnRate)
	return int(math.Round(share * plotWidth))
}

func newGroup(prev, b bar) bool { return prev.service != b.service || prev.goal != b.goal }

func countGroupGaps(bars []bar) int {
	n := 0
	for i := range bars {
		if i > 0 && newGroup(bars[i-1], bars[i]) {
			n++
		}
	}
	return n
}
