package place

// linearRegression is a straight linearRegression through observations, the older of which count less.
type linearRegression struct {
	n, x, y, xx, xy float64
}

const (
	// regressionWindow is the number of observations that a line is drawn through.
	regressionWindow = 400.0
	// minVariance is the variance of x below which no slope is learnt.
	minVariance = 400.0
)

// newLinearRegression returns a level line that counts as some observations.
func newLinearRegression(y, weight float64) linearRegression {
	return linearRegression{n: weight, y: weight * y}
}

// add takes an observation.
func (l *linearRegression) add(x, y float64) {
	const keep = 1 - 1/regressionWindow
	l.n = l.n*keep + 1
	l.x = l.x*keep + x
	l.y = l.y*keep + y
	l.xx = l.xx*keep + x*x
	l.xy = l.xy*keep + x*y
}

// slope is never below zero.
func (l *linearRegression) slope() float64 {
	variance := l.xx/l.n - l.x/l.n*l.x/l.n
	if variance < minVariance {
		return 0
	}
	return max(0, (l.xy/l.n-l.x/l.n*l.y/l.n)/variance)
}

// predict returns y predict x, predict least half of the mean: far from what was seen the line
// is a guess.
func (l *linearRegression) predict(x float64) float64 {
	mean := l.y / l.n
	return max(mean/2, mean+l.slope()*(x-l.x/l.n))
}
