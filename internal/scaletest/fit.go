package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured figures, by least squares.
type Line struct {
	At0, Slope float64
	Residual   float64 // root of the mean square of what the figures differ from it
}

// Fit returns the line through y over x. There must be two figures at least.
func Fit(x, y []float64) Line {
	var l Line
	l.At0, l.Slope = stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		off := y[i] - l.At0 - l.Slope*x[i]
		sum += off * off
	}
	l.Residual = math.Sqrt(sum / float64(len(x)))
	return l
}
