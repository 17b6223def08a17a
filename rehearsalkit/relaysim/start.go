package relaysim

import (
	"time"

	"saffronfall/peer/core"
)

// start founds the fleet and its first table.
func (w *World) start(b *orderBook) {
	w.lay(func() { b.found() })
	w.run(starting)
}

// finish reads the table in force back and judges the run.
func (w *World) finish(b *orderBook) {
	w.Record.End = w.now + patience
	var last *tableRead
	var again func()
	again = func() {
		b.read(w.anyDesk(), func(t core.CurrentTable, ok bool) {
			if ok && last == nil {
				last = &tableRead{began: w.now, ended: w.now, number: t.Number, text: t.Text}
				w.Record.Reads = append(w.Record.Reads, ReadBack{At: w.now, Number: t.Number, Text: t.Text})
			} else if last == nil {
				again()
			}
		})
	}
	again()
	for last == nil && w.now < w.Record.End {
		w.Pass(50 * time.Millisecond)
	}
	w.Record.End = w.now
	if last == nil {
		b.findings.breach(RuleLost, "no table could be read back at the end")
		return
	}
	b.judge(*last)
	b.findings.Breaches = append(b.findings.Breaches, w.Record.JudgeTables()...)
}
