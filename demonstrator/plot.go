package demonstrator

import (
	"io"

	"github.com/gravitational/trace"
	"github.com/wcharczuk/go-chart/v2"
)

// Plot writes an SVG image of the rate of completed requests by the time at which
// they began.
func Plot(w io.Writer, reports []Report) error {
	graph := chart.Chart{
		Title: "Completed requests per second",
		XAxis: chart.XAxis{Name: "seconds"},
		YAxis: chart.YAxis{Name: "requests per second"},
	}
	for _, r := range reports {
		series := chart.ContinuousSeries{Name: "layer off"}
		if r.WithLayer {
			series.Name = "layer on"
		}
		for n, v := range r.Completed {
			series.XValues = append(series.XValues, float64(n)*windowWidth.Seconds())
			series.YValues = append(series.YValues, float64(v)/windowWidth.Seconds())
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return trace.Wrap(graph.Render(chart.SVG, w))
}
