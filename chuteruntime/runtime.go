package chuteruntime

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// bucketsPerDoubling is the resolution of the ratios: a bucket is 2^(1/4), or 19%, wide.
	bucketsPerDoubling = 4
	// lowestBucket is the exponent of the first bucket, which holds ratios up to 1/4.
	lowestBucket = -2 * bucketsPerDoubling
	// bucketCount reaches to sixteen times the estimate; the last bucket holds all longer runs.
	bucketCount = 6*bucketsPerDoubling + 1
	// maxWeight is the weight of all runs of a queue at which the weights are halved, so that older runs count less.
	maxWeight = 400
	// minWeight is the least weight of a queue's runs for a prediction. With fewer runs, its tail may hold none.
	minWeight = 40
	// usualRuns is the number of runs over which the mean run time is averaged.
	usualRuns = 50
)

// Runtimes is the immutable record of run times by queue.
type Runtimes struct {
	queues *immutable.SortedMap[string, histogram]
}

// histogram holds the weight of the runs by the ratio of run time and estimate.
type histogram struct {
	weights [bucketCount]float64
	total   float64
	usual   time.Duration // moving mean of the run times
}

// New returns the record without any runs.
func New() Runtimes {
	return Runtimes{queues: immutable.NewSortedMap[string, histogram](nil)}
}

// WithRun returns the record after a task of the queue took the time from its start to its end. A task without an estimate
// changes nothing.
func (r Runtimes) WithRun(queue string, estimate, took time.Duration) Runtimes {
	if estimate <= 0 || took <= 0 {
		return r
	}
	h, _ := r.queues.Get(queue)
	h.weights[bucket(float64(took)/float64(estimate))]++
	h.total++
	h.usual += time.Duration(float64(took-h.usual) / min(h.total, usualRuns))
	if h.total >= maxWeight {
		for i := range h.weights {
			h.weights[i] /= 2
		}
		h.total /= 2
	}
	r.queues = r.queues.Set(queue, h)
	return r
}

// Remaining returns the expected time until the end of a run of the queue that has run for the elapsed time: the mean over the runs
// that took longer, or the elapsed time if hardly any did. It returns false without an estimate or with too few runs of the queue.
func (r Runtimes) Remaining(queue string, estimate, elapsed time.Duration) (time.Duration, bool) {
	h, ok := r.queues.Get(queue)
	if !ok || h.total < minWeight || estimate <= 0 {
		return 0, false
	}
	from := float64(elapsed) / float64(estimate)
	weight, sum := 0.0, 0.0
	for i, w := range h.weights {
		if ratio := middle(i); ratio > from {
			weight += w
			sum += w * (ratio - from)
		}
	}
	if weight < 1 { // hardly any run took longer
		return elapsed, true
	}
	return time.Duration(sum / weight * float64(estimate)), true
}

// Typical returns the median ratio of run time and estimate of the queue, and 1 if too few runs are known.
func (r Runtimes) Typical(queue string) float64 {
	h, ok := r.queues.Get(queue)
	if !ok || h.total < minWeight {
		return 1
	}
	below := 0.0
	for i, w := range h.weights {
		if below += w; below >= h.total/2 {
			return middle(i)
		}
	}
	return 1
}

// Usual returns how long the runs of the queue take, as a moving mean, and 0 if none is known.
func (r Runtimes) Usual(queue string) time.Duration {
	h, _ := r.queues.Get(queue)
	return h.usual
}

func bucket(ratio float64) int {
	return max(0, min(bucketCount-1, int(math.Ceil(math.Log2(ratio)*bucketsPerDoubling))-lowestBucket))
}

// middle returns the ratio in the middle of a bucket.
func middle(bucket int) float64 {
	return math.Exp2((float64(bucket+lowestBucket) - 0.5) / bucketsPerDoubling)
}
