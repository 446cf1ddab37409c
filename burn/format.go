package burn

import (
	"math"
	"time"
)

var windowNames = map[time.Duration]string{
	Window5m: "5m", Window30m: "30m", Window1h: "1h", Window6h: "6h", Window3d: "3d",
}

func windowName(window time.Duration) string { return windowNames[window] }

// round rounds to four significant digits, so that small burn rates stay visible.
func round(x float64) float64 {
	if x == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*scale) / scale
}

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }
