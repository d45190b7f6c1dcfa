package main

import (
	"encoding/json"
	"math"
	"os"
)

// Point is a value measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series holds a value measured at several sizes and the line fitted to it.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the values; empty if they are counts.
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
	// MaxResidual is the largest distance of a point from the line, as a fraction of the
	// largest value.
	MaxResidual float64 `json:"residual"`
}

// fit computes the least-squares line through the points, which must have at least two
// different sizes.
func (s *Series) fit() {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	largest, deviation := 0.0, 0.0
	for _, p := range s.Points {
		largest = max(largest, math.Abs(p.Value))
		deviation = max(deviation, math.Abs(p.Value-s.Intercept-s.Slope*p.Size))
	}
	if largest > 0 {
		s.MaxResidual = deviation / largest
	}
}

// Measurements is the content of a measurement file.
type Measurements struct {
	Series []*Series `json:"series"`
}

func (m *Measurements) add(name, unit string, points []Point) {
	s := &Series{Name: name, Unit: unit, Points: points}
	s.fit()
	m.Series = append(m.Series, s)
}

func (m *Measurements) find(name string) *Series {
	for _, s := range m.Series {
		if s.Name == name {
			return s
		}
	}
	return &Series{Name: name}
}

func (m *Measurements) write(file string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

func readMeasurements(file string) (*Measurements, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	m := &Measurements{}
	return m, json.Unmarshal(data, m)
}
