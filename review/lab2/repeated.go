package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/wire"
)

// repeated plays a direct start that is carried out once more, after its job was cancelled and its machine has
// restarted. Without the trouble, nothing restarts and nothing is repeated.
func repeated(l *lab) error {
	if err := l.start(maritsa(1)); err != nil {
		return err
	}
	l.cloud.AddMachine("vrabche", "haskovo-north", false)
	earlier := &job{id: "j-000500", tasks: 8, cpus: 1, image: "img-01", fetchS: 0.5, runs: 2 * time.Second}
	if status := l.submit(earlier, submission(earlier, "dawn-checks", "haskovo-leasing", "urgent", nil), false); status != http.StatusCreated {
		return fmt.Errorf("the earlier job got %d", status)
	}
	for n := 0; n < earlier.tasks; n = l.doneCount(earlier) {
		if l.now() > 30 {
			return fmt.Errorf("the earlier job does not end")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	j := &job{id: "j-000501", tasks: 1, cpus: 1, image: "img-02", fetchS: 1.2, runs: 300 * time.Second}
	body := submission(j, "dawn-checks", "haskovo-leasing", "urgent", map[string]any{"size_gb": 0.7})
	if status := l.submit(j, body, false); status != http.StatusCreated {
		return fmt.Errorf("the job got %d", status)
	}
	for l.startedCount(j) == 0 {
		if l.now() > 45 {
			return fmt.Errorf("the job does not start")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	w, command := l.directStart()
	if w == nil {
		return fmt.Errorf("the task was not started through /do")
	}
	if status, standing := l.cancel(j.id); status != http.StatusOK || standing != "aborted" {
		return fmt.Errorf("the cancellation got %d %s", status, standing)
	}
	told := time.Now()
	time.Sleep(seconds(l.site.cancelS + 2))
	if l.trouble {
		w.restart()
		time.Sleep(time.Second)
		l.repeat(w, command)
	}
	time.Sleep(12 * time.Second)
	// What starts within cancel_s is not judged.
	if last := l.lastStartOf(j); last.After(told.Add(seconds(l.site.cancelS))) {
		l.breach("ran_cancelled: a task of %s has started %.1f s after its user was told that the job is cancelled; cancel_s is %.0f s",
			j.id, last.Sub(told).Seconds(), l.site.cancelS)
	}
	return nil
}

// directStart returns the machine and the body of the last direct command that had a start in it.
func (l *lab) directStart() (*worker, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedAt, l.startedBy
}

// seeDirect keeps the last direct command that started a task.
func (l *lab) seeDirect(w *worker, d wire.DirectCommands, body []byte) {
	for _, c := range d.Commands {
		if c.Op != workers.Start {
			continue
		}
		l.note("worker %s: /do %s", w.machine.Name, body)
		l.mu.Lock()
		l.startedAt, l.startedBy = w, body
		l.mu.Unlock()
		return
	}
}

// lastStartOf returns when a task of a job last started.
func (l *lab) lastStartOf(j *job) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return j.lastStart
}

// repeat sends a direct command once more.
func (l *lab) repeat(w *worker, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.machine.Address+wire.PathCommands, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := l.users.Do(req)
	if err != nil {
		l.note("the repeat got no answer: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }() // read below
	answer, _ := io.ReadAll(resp.Body)
	l.note("the repeat of /do is carried out: %d %.200s", resp.StatusCode, answer)
}

// restart makes the machine lose everything that is on it. Its worker begins like that of a new machine, and
// reports for the first time after one interval, or at a change.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.session, w.seq, w.token, w.changed = 1, 0, 0, false
	w.tokenNotedAt = time.Time{}
	w.tasks, w.images = map[attemptKey]*runningTask{}, map[string]bool{}
	now := time.Now()
	w.leaseFrom, w.lastReport, w.nextReport = now, now, now.Add(seconds(w.lab.site.reportS))
	w.lab.note("machine %s restarts", w.machine.Name)
}
