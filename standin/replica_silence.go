package standin

import "time"

// FallSilent makes the replica neither read nor send anything for a time. Then it goes on.
func (r *Replica) FallSilent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(d)
}

// awaitSilence waits for the end of the replica's silence.
func (r *Replica) awaitSilence() {
	r.mu.Lock()
	until := r.silentUntil
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}
