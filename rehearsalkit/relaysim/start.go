package relaysim

import (
	"time"

	"saffronfall/peer/core"
)

func (w *World) startScenario(history *orderHistory) {
	w.startFleet(func() { history.applyFirstTable() })
	w.runUntil(startupTime)
}

// finishScenario reads the table in force and judges the run.
func (w *World) finishScenario(history *orderHistory) {
	w.Record.End = w.now + answerTimeout
	var last *tableRead
	var retry func()
	retry = func() {
		history.read(w.anyRegistry(), func(t core.CurrentTable, ok bool) {
			if ok && last == nil {
				last = &tableRead{started: w.now, ended: w.now, number: t.Number, text: t.Text}
				w.Record.FinalReads = append(w.Record.FinalReads, ReadBack{At: w.now, Number: t.Number, Text: t.Text})
			} else if last == nil {
				retry()
			}
		})
	}
	retry()
	for last == nil && w.now < w.Record.End {
		w.Advance(50 * time.Millisecond)
	}
	w.Record.End = w.now
	if last == nil {
		history.findings.breach(RuleDurable, "no table could be read back at the end")
		return
	}
	history.judge(*last)
	history.findings.Breaches = append(history.findings.Breaches, w.Record.JudgeTables()...)
}
