package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the case "moved".
const (
	movedWarmUp     = 5 * time.Second
	movedSessions   = 14
	movedStatements = 11 // of a transaction, with BEGIN and COMMIT beside them at most 12
	movedPause      = time.Second
	movedChangeAt   = 2 // the new version is written after this many statements
)

// runMoved lets clients hold transactions open while a new version gives their key to another
// tenant. Rule UNASKED: a server runs no request whose tenant isn't the one that holds the key.
func runMoved(trouble bool) int {
	s := newSite(trouble, 1, 3)
	time.Sleep(movedWarmUp)
	var sessions []*session
	for k := range movedSessions {
		c, err := openSession(s.instances[k%3], []string{"reserva0", "ajuste0"}[k%2], 0, fmt.Sprintf("tx%d", k))
		if err != nil {
			fatal(err)
		}
		if a := c.query("BEGIN", 10*time.Second); !strings.HasPrefix(a.outcome, "COMPLETE") {
			fatal(fmt.Errorf("BEGIN: %s", a.outcome))
		}
		sessions = append(sessions, c)
	}
	var inForce time.Time // when the new version is in force everywhere
	sent := make(map[string]time.Time)
	outcomes := make(map[string]int)
	for n := range movedStatements {
		if n == movedChangeAt {
			s.moved = trouble
			s.store.put("config", "main", s.configuration(2))
			inForce = time.Now().Add(time.Duration(used.apply) * time.Millisecond)
			say("acknowledged version=2 moved=%t", trouble)
		}
		text := fmt.Sprintf("WRITE k%d v", n)
		if n == movedStatements-1 {
			text = "COMMIT"
		}
		for _, c := range sessions {
			if a := c.query(text, 10*time.Second); a.complete() {
				sent[a.id] = a.sentAt
				if a.sentAt.After(inForce) && !inForce.IsZero() {
					outcomes[codeOf(a.outcome)]++
				}
			}
		}
		time.Sleep(movedPause)
	}
	for _, c := range sessions {
		c.close()
	}
	runs.Lock()
	defer runs.Unlock()
	broken, late := 0, 0
	holder := "tenant0"
	if trouble {
		holder = "tenant1"
	}
	for _, r := range runs.list {
		if at := sent[r.id]; !at.After(inForce) {
			continue
		}
		late++
		if r.team != holder {
			if broken++; broken <= 3 {
				say("UNASKED broken: id=%s ran for %s on %s, %v after the version was in force; its key is %s's", r.id, r.team, r.server, r.at.Sub(inForce).Round(time.Millisecond), holder)
			}
		}
	}
	say("sessions=%d ran after the version was in force=%d for another tenant=%d answers=%v", len(sessions), late, broken, outcomes)
	switch {
	case broken > 0:
		return exitBroken
	case !trouble && late == 0:
		return exitUnable
	}
	return exitHeld
}

// codeOf returns the word of an answer, and the code of an error.
func codeOf(outcome string) string {
	f := strings.Fields(outcome)
	if len(f) > 1 && f[0] == "ERROR" {
		return f[1]
	}
	return f[0]
}
