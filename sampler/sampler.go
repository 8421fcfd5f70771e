// Package sampler measures the processor time of its process and the time that
// runnable goroutines wait for the processor.
package sampler

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// schedulingLatencies is the histogram of the times that goroutines spent
// runnable before they ran.
const schedulingLatencies = "/sched/latencies:seconds"

// percentile is the percentile of Usage.SchedulingDelay.
const percentile = 0.99

// Usage is the use of the processor between two samples.
type Usage struct {
	// ProcessorTime is the processor time of the process; 0 if the operating
	// system does not tell it.
	ProcessorTime time.Duration
	// SchedulingDelay is the 99th percentile of the times that goroutines were
	// runnable before they ran.
	SchedulingDelay time.Duration
}

// Sampler returns the use of the processor since its last sample. It is not safe
// for concurrent use.
type Sampler struct {
	processorTime time.Duration
	delays        []uint64
	sample        []metrics.Sample
}

// New returns a sampler whose first sample covers the time since New.
func New() *Sampler {
	s := &Sampler{sample: []metrics.Sample{{Name: schedulingLatencies}}}
	s.Sample()
	return s
}

// Sample returns the use of the processor since the last sample.
func (s *Sampler) Sample() Usage {
	return Usage{
		ProcessorTime:   s.sampleProcessorTime(),
		SchedulingDelay: s.sampleDelays(),
	}
}

func (s *Sampler) sampleProcessorTime() time.Duration {
	var usage syscall.Rusage
	// Without an answer, the usage stays zero, which Usage documents.
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	used := total - s.processorTime
	s.processorTime = total
	return used
}

func (s *Sampler) sampleDelays() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.sample[0].Value.Float64Histogram()
	if len(s.delays) != len(h.Counts) {
		s.delays = make([]uint64, len(h.Counts))
	}
	added := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		added[i] = n - s.delays[i]
		s.delays[i] = n
	}
	return highPercentile(h.Buckets, added)
}

// highPercentile returns the upper bound, or for the last bucket the lower bound, of
// the bucket that holds the percentile; 0 if all counts are 0. Bucket i is bounded by
// bounds i and i+1, in seconds.
func highPercentile(bounds []float64, counts []uint64) time.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(percentile * float64(total)))
	var seen uint64
	for i, n := range counts {
		seen += n
		if seen < rank {
			continue
		}
		bound := bounds[i+1]
		if math.IsInf(bound, 1) {
			bound = bounds[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
