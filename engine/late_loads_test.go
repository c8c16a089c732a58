package engine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// ownerChain is an engine and its consecutive owners. Loads without a reply arrive when it says so.
type ownerChain struct {
	engine *sequencedEngine
	owner  *Sequencer
	token  int64
	late   []lateArrival
	isLate bool // the next commands get no reply
}

type lateArrival struct {
	command Command
	sentAt  time.Time
}

func newOwnerChain(slots int) *ownerChain {
	c := &ownerChain{engine: newSequencedEngine(slots)}
	c.next(false, nil)
	return c
}

// next starts the next owner, with what the one before handed on.
func (c *ownerChain) next(takenOver bool, handedOn []LateLoad) {
	c.token++
	c.owner = c.engine.sequencer()
	c.owner.TakenOver, c.owner.LateLoads = takenOver, &LateLoads{}
	for _, load := range handedOn {
		c.owner.LateLoads.Add(load)
	}
	c.owner.ReservedSlots(time.Now()) // it is asked from the takeover on
	send := c.owner.Send
	c.owner.Send = func(ctx context.Context, cmd Command) (Reply, error) {
		if !c.isLate {
			return send(ctx, cmd)
		}
		c.late = append(c.late, lateArrival{cmd, time.Now()})
		return "", &Error{Op: "order", Kind: Failed}
	}
}

// release hands the engine on to another owner.
func (c *ownerChain) release() {
	now := time.Now()
	c.next(c.owner.MayHaveUnknownLoad(now), c.owner.LateLoads.Pending(now))
}

// kill ends the owner before it has written the last late load.
func (c *ownerChain) kill() {
	list := c.owner.LateLoads.Pending(time.Now())
	c.next(true, list[:max(0, len(list)-1)])
}

func (c *ownerChain) load(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, _ = c.owner.Load(ctx, name, c.token) // there may be no slot for it
}

// loadUnanswered sends a load that the engine executes, of which a first copy without a reply arrives late.
func (c *ownerChain) loadUnanswered(name string) {
	copies := c.owner.Send
	sent := 0
	c.owner.Send = func(ctx context.Context, cmd Command) (Reply, error) {
		if sent++; sent == 1 && cmd.Load {
			c.late = append(c.late, lateArrival{cmd, time.Now()})
			return "", &Error{Op: "order", Kind: Failed}
		}
		return copies(ctx, cmd)
	}
	c.load(name)
	c.owner.Send = copies
}

// arrive lets the late commands arrive that may.
func (c *ownerChain) arrive() {
	for _, l := range c.late {
		if time.Since(l.sentAt) <= maxCommandDelay {
			c.engine.execute(l.command)
		}
	}
	c.late = nil
}

// Guards against an engine that gets more loads than it has slots for, since its owner did not know of all late loads of
// the one before. The demand leaves the sequence number where the first of them expects it.
func TestLateLoadsAcrossOwnersNeverExceedSlots(t *testing.T) {
	const slots = 4
	changes := map[string]func(c *ownerChain){
		"released":            (*ownerChain).release,
		"killed":              (*ownerChain).kill,
		"released twice":      func(c *ownerChain) { c.release(); c.release() },
		"released and killed": func(c *ownerChain) { c.release(); c.kill() },
	}
	for name, change := range changes {
		for late := 1; late <= 3; late++ {
			for restartFirst := range 2 {
				for pause := time.Duration(0); pause < 6*time.Second; pause += 1300 * time.Millisecond {
					t.Run(fmt.Sprint(name, "/", late, "/", restartFirst == 1, "/", pause), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is := is.New(t)
							c := newOwnerChain(slots)
							for i := range slots {
								c.load(fmt.Sprint("m/former", i))
							}
							for i := range slots - 1 {
								_, err := c.owner.Unload(t.Context(), fmt.Sprint("m/former", i), c.token)
								is.NoErr(err)
							}
							expected := c.engine.sequence // of the first late load; the others expect the next numbers
							for i := range late {
								c.loadUnanswered(fmt.Sprint("m/late", i))
							}
							is.Equal(len(c.late), late)
							if restartFirst == 1 {
								c.engine.restart()
							}
							time.Sleep(pause)
							change(c)
							if restartFirst == 0 {
								c.engine.restart()
							}
							time.Sleep(time.Second)
							for i := 0; c.engine.sequence < expected; i++ { // demand that ends there
								c.load(fmt.Sprint("m/new", i))
							}
							c.arrive()
							is.Equal(c.engine.crashes, 0)
						})
					})
				}
			}
		}
	}
}

// Whatever order restarts, owners and late loads come in, the engine never gets more loads than it has slots for, and all
// slots are used again afterwards.
func TestDrawnLateLoadsAcrossOwners(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 15), 5, 40).Draw(rt, "steps")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			c := newOwnerChain(4)
			for i, step := range steps {
				switch {
				case step < 6:
					c.load(fmt.Sprint("m/", i%7))
				case step < 9:
					c.loadUnanswered(fmt.Sprint("m/", i%7))
				case step < 11:
					c.release()
				case step < 12:
					c.kill()
				case step < 13:
					c.engine.restart()
				case step < 14:
					c.arrive()
				default:
					time.Sleep(time.Duration(step) * 70 * time.Millisecond)
				}
			}
			if c.engine.crashes > 0 {
				failure = fmt.Sprint(c.engine.crashes, " loads beyond the slots")
				return
			}
			c.late = nil
			time.Sleep(maxCommandDelay + time.Second)
			for i := range 4 {
				c.load(fmt.Sprint("m/last", i))
			}
			if n := len(c.engine.loaded) + len(c.engine.loading); n != 4 {
				failure = fmt.Sprint(n, " of 4 slots are used")
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
