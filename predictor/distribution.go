package predictor

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a distribution, bucketsPerDoubling of them
	// for each doubling of the time; the last one has no upper bound.
	bucketCount        = 36
	bucketsPerDoubling = 2
	// shortestTime is the upper bound of the first bucket. With it, the last bucket
	// begins at 46 s.
	shortestTime = 250 * time.Microsecond
	// memory is the time in which the weight of an observation falls to 1/e.
	memory = time.Minute
	// maxGrowth bounds the weight of a new observation before all are scaled down.
	maxGrowth = 1e9
	// refreshInterval is how many observations are added before the sums are computed
	// again.
	refreshInterval = 8
	// minRestWeight is the least weight, in observations, from which a rest is told.
	minRestWeight = 1
)

// distribution is a histogram of times with buckets of logarithmic width, in which older
// observations weigh less.
type distribution struct {
	// weights and sums are relative to growth, the weight of a new observation.
	weights [bucketCount]float32
	sums    [bucketCount]float32
	growth  float64
	updated time.Time
	added   int
	// weightFrom and sumFrom are the totals from a bucket on, as of the last refresh.
	weightFrom [bucketCount + 1]float32
	sumFrom    [bucketCount + 1]float32
}

func bucket(t time.Duration) int {
	if t <= shortestTime {
		return 0
	}
	return min(1+int(bucketsPerDoubling*math.Log2(float64(t)/float64(shortestTime))), bucketCount-1)
}

// upperBound returns the upper bound of a bucket in seconds.
func upperBound(bucket int) float64 {
	return shortestTime.Seconds() * math.Exp2(float64(bucket)/bucketsPerDoubling)
}

func (d *distribution) add(now time.Time, t time.Duration) {
	if d.growth == 0 {
		d.growth, d.updated = 1, now
	}
	if age := now.Sub(d.updated); age > 0 {
		d.growth *= math.Exp(min(age.Seconds()/memory.Seconds(), 20))
		d.updated = now
	}
	if d.growth > maxGrowth {
		d.scaleDown()
	}
	b := bucket(t)
	d.weights[b] += float32(d.growth)
	d.sums[b] += float32(d.growth * t.Seconds())
	d.added++
	if d.added <= refreshInterval || d.added%refreshInterval == 0 {
		d.refresh()
	}
}

func (d *distribution) scaleDown() {
	for i := range d.weights {
		d.weights[i] = float32(float64(d.weights[i]) / d.growth)
		d.sums[i] = float32(float64(d.sums[i]) / d.growth)
	}
	d.growth = 1
	d.refresh()
}

func (d *distribution) refresh() {
	for i := bucketCount - 1; i >= 0; i-- {
		d.weightFrom[i] = d.weightFrom[i+1] + d.weights[i]
		d.sumFrom[i] = d.sumFrom[i+1] + d.sums[i]
	}
}

// size returns the weight of the observations, in new ones.
func (d *distribution) size() float64 {
	if d.growth == 0 {
		return 0
	}
	return float64(d.weightFrom[0]) / d.growth
}

// mean returns the mean time; 0 without observations.
func (d *distribution) mean() time.Duration {
	if d.weightFrom[0] == 0 {
		return 0
	}
	return seconds(float64(d.sumFrom[0] / d.weightFrom[0]))
}

// rest returns the expected remaining time of what has taken a time already. What has
// taken longer than nearly all before is expected to take as long again, as times with a
// long tail do.
func (d *distribution) rest(elapsed time.Duration) time.Duration {
	if elapsed <= 0 {
		return d.mean()
	}
	b := bucket(elapsed)
	e := elapsed.Seconds()
	weight, sum := float64(d.weightFrom[b+1]), float64(d.sumFrom[b+1])
	if w := float64(d.weights[b]); w > 0 && b < bucketCount-1 {
		low, high := 0.0, upperBound(b)
		if b > 0 {
			low = upperBound(b - 1)
		}
		above := w * max(high-e, 0) / (high - low)
		weight += above
		sum += above * (e + high) / 2
	}
	if weight < minRestWeight*d.growth {
		return elapsed
	}
	return seconds(max(sum/weight-e, 0))
}

// quantile returns a time below which a share of the observations lies, to the precision
// of a bucket.
func (d *distribution) quantile(share float64) time.Duration {
	limit := float64(d.weightFrom[0]) * (1 - share)
	for i := range bucketCount {
		if float64(d.weightFrom[i+1]) <= limit {
			return seconds(upperBound(i))
		}
	}
	return seconds(upperBound(bucketCount - 1))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
