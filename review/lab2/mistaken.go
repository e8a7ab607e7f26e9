package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	mistakenMachines = 4
	mistakenJobs     = 6
	leftWaiting      = 90 * time.Second
)

// mistaken plays urgent jobs that were submitted with a mistake, so that their tasks fail on every machine,
// while a sound job waits. Without the trouble, the tasks of the urgent jobs complete.
func mistaken(l *lab) error {
	if err := l.start(sofia(mistakenMachines)); err != nil {
		return err
	}
	for range mistakenMachines {
		l.cloud.AddMachine("kantor", "sofia-east", true)
	}
	time.Sleep(3 * time.Second)
	for k := range mistakenJobs {
		j := &job{id: fmt.Sprintf("j-00060%d", k), tasks: 16, cpus: 3, image: "img-02", fetchS: 0.5, runs: time.Second, fails: l.trouble}
		body := submission(j, "fraud-screen", "credit-ops", "urgent", nil)
		if status := l.submit(j, body, false); status != http.StatusCreated {
			return fmt.Errorf("an urgent job got %d", status)
		}
	}
	time.Sleep(6 * time.Second)
	sound := &job{id: "j-000501", tasks: 10, cpus: 1, image: "img-01", fetchS: 0.5, runs: 3 * time.Second}
	if status := l.submit(sound, submission(sound, "repayment-recon", "credit-ops", "normal", nil), false); status != http.StatusCreated {
		return fmt.Errorf("the sound job got %d", status)
	}
	// The rule counts the time in which the job waits and some machine has room for one of its tasks.
	roomSince := time.Now()
	for l.now() < 115 {
		time.Sleep(50 * time.Millisecond)
		if n := l.startedCount(sound); n > 0 {
			l.note("the sound job has begun")
			return nil
		}
		if l.mostRoom() < sound.cpus {
			l.note("no machine has room")
			roomSince = time.Now()
		}
		if time.Since(roomSince) >= leftWaiting {
			l.breach("%s waits, and for %v some machine has had room for it all the time", sound.id, leftWaiting)
			return nil
		}
	}
	return nil
}

// mostRoom returns the most processors that are free on one machine.
func (l *lab) mostRoom() float64 {
	l.mu.Lock()
	list := make([]*worker, 0, len(l.workers))
	for _, w := range l.workers {
		list = append(list, w)
	}
	l.mu.Unlock()
	most := 0.0
	for _, w := range list {
		most = max(most, w.room())
	}
	return most
}
