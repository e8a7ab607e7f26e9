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
	if l.now() > 48 {
		return fmt.Errorf("the stages took %.0f s to submit", l.now())
	}
	switch {
	case os.Getenv("TROUBLE") == "cancel": // instead of the kill
		go l.cancel(stageID(barrierStages-1, 0))
		time.Sleep(time.Second) // it has arrived before the next submission
	case l.trouble:
		leader, err := l.killLeader()
		if err != nil {
			return err
		}
		time.AfterFunc(restartAfter, func() {
			if err := l.startNode(leader); err != nil {
				l.note("controller %s not started again: %v", leader.name, err)
			}
		})
	}
	from := time.Now()
	small := &job{id: "j-000701", tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: time.Second}
	var accepted int
	var requests sync.WaitGroup
	requests.Go(func() {
		accepted = l.submit(small, submission(small, "dawn-checks", "haskovo-leasing", "urgent", nil), false)
	})
	polls, answered := 0, 0
	for time.Since(from) < retryFor {
		time.Sleep(time.Second)
		polls++
		if status, _ := l.poll(stageID(polls%barrierStages, polls)); status == http.StatusOK {
			answered++
		}
	}
	requests.Wait()
	l.note("%d of %d polls answered", answered, polls)
	if accepted != http.StatusCreated && accepted != http.StatusOK {
		l.breach("a submission was not accepted in 60 s of repeats, last status %d; of %d polls of accepted jobs %d were answered", accepted, polls, answered)
	}
	return nil
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
