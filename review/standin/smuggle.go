package main

import (
	"fmt"
	"strings"
	"time"
)

// runSmuggle lets clients write data that holds a line feed. Rule UNASKED: servers run the
// statements that clients have sent, with their text, and no others.
func runSmuggle(trouble bool) int {
	used = &saajghar
	s := newSite(trouble, 1, 3)
	sent := make(map[string]string)
	feed := " "
	if trouble {
		feed = "\n"
	}
	for k, i := range s.instances {
		c, err := openSession(i, "booking0", k, fmt.Sprintf("c%d", k))
		if err != nil {
			fatal(err)
		}
		for n := range 5 {
			// The note of a guest that has two lines, the second of which looks like a message.
			text := fmt.Sprintf("WRITE %d note%sQUERY x%d.%d WRITE %d other", k*100+n, feed, k, n, k*100+50+n)
			sent[fmt.Sprintf("c%d.%d", k, c.count+1)] = text
			if a := c.query(text, 2*time.Second); !a.complete() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.close()
	}
	time.Sleep(time.Second)
	runs.Lock()
	defer runs.Unlock()
	unasked, asked := 0, 0
	for _, r := range runs.list {
		text, ok := sent[r.id]
		switch {
		case !ok:
			say("UNASKED broken: id=%s text=%q was sent by no client", r.id, r.text)
			unasked++
		case strings.TrimSpace(r.text) != strings.TrimSpace(text):
			say("UNASKED broken: id=%s ran text=%q, sent text=%q", r.id, r.text, text)
			unasked++
		default:
			asked++
		}
	}
	say("sent=%d run as sent=%d UNASKED=%d", len(sent), asked, unasked)
	switch {
	case unasked > 0:
		return exitBroken
	case asked == 0 && !trouble:
		return exitUnable
	}
	return exitHeld
}
