package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The numbers of jobs that a job of the case fan-in follows. A submission that names 4,400 jobs has less than
// 64 KiB.
const (
	manyFollowed = 4400
	fewFollowed  = 400
)

// fanIn plays two jobs that follow the same 4,400 jobs, submitted one after the other, in a deployment whose
// state service takes values up to 32 KiB. Without the trouble, they follow 400 of them.
func fanIn(l *lab) error {
	if err := l.start(maritsa(1)); err != nil {
		return err
	}
	l.cloud.AddMachine("vrabche", "haskovo-north", false)
	if err := fanInQueue(l); err != nil {
		return err
	}
	// One job takes the whole machine for some seconds, and the next one waits for its room.
	first := &job{id: "j-000501", tasks: 8, cpus: 1, image: "img-01", fetchS: 0.5, runs: 8 * time.Second}
	next := &job{id: "j-000502", tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: 2 * time.Second}
	if status := l.submit(first, submission(first, "contract-batch", "haskovo-leasing", "normal", nil), false); status != http.StatusCreated {
		return fmt.Errorf("the first job got %d", status)
	}
	for n := 0; n < first.tasks; n = l.startedCount(first) {
		if l.now() > 60 {
			return fmt.Errorf("the first job does not start")
		}
		time.Sleep(50 * time.Millisecond)
	}
	if status := l.submit(next, submission(next, "contract-batch", "haskovo-leasing", "normal", nil), false); status != http.StatusCreated {
		return fmt.Errorf("the next job got %d", status)
	}
	count := fewFollowed
	if l.trouble {
		count = manyFollowed
	}
	var follows []string
	for k := range count {
		follows = append(follows, queuedID(k))
	}
	var requests sync.WaitGroup
	for k := range 2 {
		j := &job{id: fmt.Sprintf("j-00060%d", k+1), tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: 2 * time.Second}
		body := submission(j, "contract-batch", "haskovo-leasing", "normal", map[string]any{"follows": follows})
		l.note("user: submission of %s, which follows %d jobs, has %d bytes", j.id, count, len(body))
		requests.Go(func() { l.mustAccept(j, body) })
		time.Sleep(500 * time.Millisecond)
	}
	small := &job{id: "j-000701", tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: time.Second}
	requests.Go(func() { l.mustAccept(small, submission(small, "contract-batch", "haskovo-leasing", "normal", nil)) })
	requests.Go(func() {
		if status, standing := l.cancel(queuedID(0)); status != http.StatusOK {
			l.breach("a cancellation got no answer in 60 s, last status %d %s", status, standing)
		}
	})
	requests.Wait()
	return fanInEnd(l, first, next)
}

// mustAccept submits a job that is well formed and can run.
func (l *lab) mustAccept(j *job, body []byte) {
	if status := l.submit(j, body, false); status != http.StatusCreated && status != http.StatusOK {
		l.breach("the submission of %s was not accepted in 60 s of repeats, last status %d", j.id, status)
	}
}

// fanInEnd waits until the accepted jobs are done, and checks that they are in time.
func fanInEnd(l *lab, first, next *job) error {
	const lastLook = 112
	for l.now() < lastLook {
		done, _ := l.doneCount(first)
		nextDone, _ := l.doneCount(next)
		_, standingFirst := l.poll(first.id)
		_, standingNext := l.poll(next.id)
		if done == first.tasks && nextDone == next.tasks && standingFirst == "done" && standingNext == "done" {
			return nil
		}
		time.Sleep(3 * time.Second)
	}
	count, last := l.doneCount(first)
	if count < first.tasks {
		return fmt.Errorf("only %d tasks of the first job ran", count)
	}
	waited := time.Since(last).Round(time.Second)
	if started := l.startedCount(next); started == 0 {
		l.breach("%s was accepted and has not begun, although the machine has had room for %v", next.id, waited)
	}
	if _, standing := l.poll(first.id); standing != "done" {
		l.breach("%s is called %q %v after its last task has completed", first.id, standing, waited)
	}
	return nil
}

func queuedID(k int) string { return fmt.Sprintf("j-%06d", 100001+k) }

// fanInQueue submits the jobs to be followed. They wait for a type of machine that the cloud does not have.
func fanInQueue(l *lab) error {
	const users = 48
	var all sync.WaitGroup
	failed := make(chan int, users)
	for u := range users {
		all.Go(func() {
			for k := u; k < manyFollowed; k += users {
				j := &job{id: queuedID(k), tasks: 1, cpus: 10, image: "img-07", fetchS: 1, runs: 10 * time.Second}
				more := map[string]any{"gpus": 2.0, "breeds": []string{"sova"}}
				if status := l.submit(j, submission(j, "collateral-vision", "haskovo-leasing", "normal", more), true); status != http.StatusCreated && status != http.StatusOK {
					failed <- status
					return
				}
			}
		})
	}
	all.Wait()
	l.note("%d jobs wait", manyFollowed)
	select {
	case status := <-failed:
		return fmt.Errorf("a job to be followed got %d", status)
	default:
		return nil
	}
}

func ftoa(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
