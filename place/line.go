package place

// line is a straight line through observations, the older of which count less.
type line struct {
	n, x, y, xx, xy float64
}

const (
	// lineLife is the number of observations that a line is drawn through.
	lineLife = 400.0
	// minSpread is the variance of x below which no slope is learnt.
	minSpread = 400.0
)

// newLine returns a level line that counts as some observations.
func newLine(y, weight float64) line { return line{n: weight, y: weight * y} }

// add takes an observation.
func (l *line) add(x, y float64) {
	const keep = 1 - 1/lineLife
	l.n = l.n*keep + 1
	l.x = l.x*keep + x
	l.y = l.y*keep + y
	l.xx = l.xx*keep + x*x
	l.xy = l.xy*keep + x*y
}

// slope is never below zero.
func (l *line) slope() float64 {
	spread := l.xx/l.n - l.x/l.n*l.x/l.n
	if spread < minSpread {
		return 0
	}
	return max(0, (l.xy/l.n-l.x/l.n*l.y/l.n)/spread)
}

// at returns y at x, at least half of the mean: far from what was seen the line
// is a guess.
func (l *line) at(x float64) float64 {
	mean := l.y / l.n
	return max(mean/2, mean+l.slope()*(x-l.x/l.n))
}
