package main

import (
	"fmt"
	"net/http"
	"time"
)

// unknownCase plays submissions with a field that the protocol does not know: the state of the user's source
// tree, HEAD. Without the trouble, the same values are in a field with another name that is not known either.
func unknownCase(l *lab) error {
	if err := l.start(sofia(2)); err != nil {
		return err
	}
	field := "commit"
	if l.trouble {
		field = "HEAD"
	}
	named := &job{id: "j-000501", tasks: 3, cpus: 1, image: "img-01", fetchS: 0.5, runs: 2 * time.Second}
	body := withField(submission(named, "repayment-recon", "credit-ops", "normal", nil), field, `"9fceb02"`)
	l.note("user: body %s", body)
	if status := l.submit(named, body, false); status != http.StatusCreated && status != http.StatusOK {
		l.breach("a submission that lacks nothing got %d for an unknown field: the job is lost", status)
	}
	// The same with a number, as the field counts changes.
	counted := &job{id: "j-000502", tasks: 3, cpus: 1, image: "img-01", fetchS: 0.5, runs: 5 * time.Second}
	body = withField(submission(counted, "repayment-recon", "credit-ops", "normal", nil), field, "1")
	l.note("user: body %s", body)
	if status := l.submit(counted, body, false); status != http.StatusCreated && status != http.StatusOK {
		l.breach("a submission that lacks nothing got %d for an unknown field: the job is lost", status)
		return nil
	}
	for l.now() < 60 {
		time.Sleep(time.Second)
		done := l.doneCount(counted)
		_, standing := l.poll(counted.id)
		if standing != "done" {
			continue
		}
		if done < counted.tasks {
			l.breach("not_done: %s is called done after %d of its %d tasks", counted.id, done, counted.tasks)
		}
		return nil
	}
	return fmt.Errorf("the job is not done after a minute")
}

// withField returns a JSON object with one more field, as its last one.
func withField(object []byte, field, value string) []byte {
	return fmt.Appendf(nil, "%s,%q:%s}", object[:len(object)-1], field, value)
}
