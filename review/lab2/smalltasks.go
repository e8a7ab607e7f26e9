package main

import (
	"fmt"
	"net/http"
	"time"
)

// smallTasks plays an array of 1,280 small tasks that all fit on one machine. Without the trouble, it has 120
// tasks, each of which takes ten times as much.
func smallTasks(l *lab) error {
	if err := l.start(maritsa(1)); err != nil {
		return err
	}
	l.cloud.AddMachine("orel", "haskovo-north", true)
	time.Sleep(2 * time.Second)
	// Another job has a task that runs on the machine meanwhile.
	other := &job{id: "j-000502", tasks: 1, cpus: 1, image: "img-01", fetchS: 0.5, runs: 40 * time.Second}
	if status := l.submit(other, submission(other, "contract-batch", "haskovo-leasing", "normal", map[string]any{"breeds": []string{"orel"}}), false); status != http.StatusCreated {
		return fmt.Errorf("the other job got %d", status)
	}
	time.Sleep(4 * time.Second)
	small := &job{id: "j-000501", tasks: 1280, cpus: 0.05, image: "img-02", fetchS: 0.5, runs: 3 * time.Second}
	if !l.trouble {
		small.tasks, small.cpus = 120, 0.5
	}
	body := submission(small, "contract-batch", "haskovo-leasing", "normal", map[string]any{"memory_gb": 0.05, "breeds": []string{"orel"}})
	if status := l.submit(small, body, false); status != http.StatusCreated {
		return fmt.Errorf("the job of small tasks got %d", status)
	}
	accepted := time.Now()
	for time.Since(accepted) < 95*time.Second {
		time.Sleep(3 * time.Second)
		done := l.doneCount(small)
		_, standing := l.poll(small.id)
		if standing == "done" && done == small.tasks {
			return nil
		}
	}
	done := l.doneCount(small)
	started := l.startedCount(small)
	l.note("not judged: %s, accepted %v ago, is not done: %d of its tasks have started, %d are done", small.id, time.Since(accepted).Round(time.Second), started, done)
	return nil
}
