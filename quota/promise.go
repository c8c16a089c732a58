package quota

import "time"

// promise is the part of the bucket that a node is given when it asks again at the stated time.
type promise struct {
	amount float64
	due    time.Time
}

// promiseGrace is how long a promised part is kept for a node that does not come back: several round
// trips between regions.
const promiseGrace = 300 * time.Millisecond
