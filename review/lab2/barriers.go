package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	barrierStages = 7
	barrierWidth  = 300
	restartAfter  = 6 * time.Second
	forgottenFor  = 75 * time.Second
)

// barriers plays a pipeline of seven stages of 300 jobs each, in which each job follows all jobs of the stage
// before it. Then the leader is killed, and comes back after some seconds; with TROUBLE=cancel, a job of the last
// stage is cancelled instead. Without the trouble, nobody is killed.
func barriers(l *lab) error {
	if err := l.start(maritsa(1)); err != nil {
		return err
	}
	l.cloud.AddMachine("vrabche", "haskovo-north", false)
	if err := submitStages(l); err != nil {
		return err
	}
	if status, _ := l.poll(stageID(0, 0)); status != http.StatusOK {
		return fmt.Errorf("a job of the first stage gets %d before any trouble", status)
	}
	if l.now() > 30 {
		return fmt.Errorf("the stages took %.0f s to submit", l.now())
	}
	switch {
	case os.Getenv("TROUBLE") == "cancel": // instead of the kill
		go l.cancel(stageID(barrierStages-1, 0))
		time.Sleep(time.Second)
	case l.trouble:
		leader, err := l.killLeader()
		if err != nil {
			return err
		}
		time.Sleep(restartAfter)
		if err := l.startNode(leader); err != nil {
			return err
		}
	}
	// All troubles are over. The user of one accepted job asks; a submission is sent beside it, and not judged.
	over := time.Now()
	small := &job{id: "j-000701", tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: time.Second}
	go l.submit(small, submission(small, "dawn-checks", "haskovo-leasing", "urgent", nil), false)
	polls := 0
	for {
		polls++
		if status, _ := l.poll(stageID(0, 0)); status == http.StatusOK {
			l.note("poll %d is answered", polls)
			return nil
		}
		if time.Since(over) > forgottenFor {
			l.breach("forgotten: none of %d questions about %s was answered in %v after all troubles were over", polls, stageID(0, 0), forgottenFor)
			return nil
		}
		time.Sleep(time.Second)
	}
}

func stageID(stage, k int) string { return fmt.Sprintf("j-2%02d%03d", stage, k) }

// submitStages submits the jobs of one stage after the other. Those of the first stage have work for a while.
func submitStages(l *lab) error {
	const users = 48
	for stage := range barrierStages {
		var follows []string
		if stage > 0 {
			for k := range barrierWidth {
				follows = append(follows, stageID(stage-1, k))
			}
		}
		var all sync.WaitGroup
		failed := make(chan int, users)
		for u := range users {
			all.Go(func() {
				for k := u; k < barrierWidth; k += users {
					j := &job{id: stageID(stage, k), tasks: 1, cpus: 1, image: "img-07", fetchS: 0.5, runs: 60 * time.Second}
					more := map[string]any{"follows": follows}
					if status := l.submit(j, submission(j, "contract-batch", "haskovo-leasing", "normal", more), true); status != http.StatusCreated && status != http.StatusOK {
						failed <- status
						return
					}
				}
			})
		}
		all.Wait()
		l.note("stage %d: %d jobs accepted", stage, barrierWidth)
		select {
		case status := <-failed:
			return fmt.Errorf("a job of stage %d got %d", stage, status)
		default:
		}
	}
	return nil
}
