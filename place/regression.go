package place

// linearRegression is a simple linear regression with exponentially decaying
// weights. The fields are the weighted sums over the observations.
type linearRegression struct {
	n, x, y, xx, xy float64
}

const (
	// regressionWindow is the effective number of observations.
	regressionWindow = 400.0
	// minVariance is the variance of x below which the slope is taken as 0.
	minVariance = 400.0
)

// newLinearRegression returns a constant y with the weight of that many
// observations.
func newLinearRegression(y, weight float64) linearRegression {
	return linearRegression{n: weight, y: weight * y}
}

// add adds an observation.
func (l *linearRegression) add(x, y float64) {
	const decay = 1 - 1/regressionWindow
	l.n = l.n*decay + 1
	l.x = l.x*decay + x
	l.y = l.y*decay + y
	l.xx = l.xx*decay + x*x
	l.xy = l.xy*decay + x*y
}

// slope returns the slope of the line, 0 instead of a negative one.
func (l *linearRegression) slope() float64 {
	variance := l.xx/l.n - l.x/l.n*l.x/l.n
	if variance < minVariance {
		return 0
	}
	return max(0, (l.xy/l.n-l.x/l.n*l.y/l.n)/variance)
}

// predict returns y at x, but no less than half of the mean, as extrapolation far
// from the observations is unreliable.
func (l *linearRegression) predict(x float64) float64 {
	mean := l.y / l.n
	return max(mean/2, mean+l.slope()*(x-l.x/l.n))
}
