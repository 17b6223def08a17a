package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// watch kills a process that goes over its machine's memory, and starts one that ended again, as
// DEPLOY.md says.
func (f *fleet) watch(p *process, command *exec.Cmd, ended chan struct{}) {
	defer f.watching.Done()
	over := make(chan struct{})
	f.watching.Go(func() { f.watchMemory(p, command, ended, over) })
	err := command.Wait()
	close(ended)
	overMemory := false
	select {
	case <-over:
		overMemory = true
	default:
	}
	f.lock.Lock()
	asked, stopping := p.asked, f.stopping
	switch {
	case stopping, time.Now().Before(p.troubledUntil):
	case overMemory:
		p.overMemory++
	case !asked:
		p.ownEnds++
	}
	f.lock.Unlock()
	if stopping {
		return
	}
	f.b.note("%s on %s ended (%v); over its memory: %v, asked: %v", p.role, p.machine.name, err, overMemory, asked)
	time.Sleep(restartDelay)
	for {
		f.lock.Lock()
		held, stopping := p.held, f.stopping
		f.lock.Unlock()
		switch {
		case stopping:
			return
		case !held:
			f.start(p)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// loseZone kills all processes of a zone's machines. After a while the machines start again with empty
// disks.
func (f *fleet) loseZone(zone string, down time.Duration) {
	f.b.note("zone %s is lost, with its disks, for %v", zone, down)
	f.lock.Lock()
	var lost []*process
	for _, p := range f.processes {
		if p.machine.zone == zone {
			p.held, p.asked = true, true
			p.command.Process.Signal(syscall.SIGKILL)
			lost = append(lost, p)
		}
	}
	f.lock.Unlock()
	time.Sleep(down)
	f.lock.Lock()
	for _, p := range lost {
		os.RemoveAll(filepath.Join(f.dir, p.machine.name, p.role))
		p.held = false
	}
	f.lock.Unlock()
	f.b.note("zone %s starts again, at the same addresses", zone)
}

// watchMemory looks at the memory that is the process's own: pages of the program's file don't count.
func (f *fleet) watchMemory(p *process, command *exec.Cmd, ended, over chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
		}
		used := ownMemoryKB(command.Process.Pid)
		f.lock.Lock()
		p.peakKB = max(p.peakKB, used)
		f.lock.Unlock()
		if used*1024 > p.machine.memoryMB*1000*1000 {
			f.b.note("%s on %s takes %d MB of %d: the platform kills it", p.role, p.machine.name, used*1024/1000/1000, p.machine.memoryMB)
			close(over)
			command.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// ownMemoryKB returns RssAnon of /proc/PID/status.
func ownMemoryKB(pid int) int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}

// signal sends a signal to all processes of a role. They are started again if it ends them.
func (f *fleet) signal(role string, s syscall.Signal) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, p := range f.processes {
		if p.role == role {
			p.asked = s == syscall.SIGKILL || s == syscall.SIGTERM
			p.command.Process.Signal(s)
		}
	}
}

// end kills all processes and removes their folders.
func (f *fleet) end() {
	f.lock.Lock()
	f.stopping = true
	for _, p := range f.processes {
		if p.command != nil {
			p.command.Process.Signal(syscall.SIGKILL)
		}
	}
	f.lock.Unlock()
	f.watching.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// endedOften returns on how many machines the processes of a role ended by themselves or for their memory
// at least a number of times.
func (f *fleet) endedOften(role string, times int) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	machines := 0
	for _, p := range f.processes {
		if p.role == role && p.overMemory+p.ownEnds >= times {
			machines++
		}
	}
	return machines
}

// peaks notes the memory and the ends of a role's processes, and returns what endedOften does.
func (f *fleet) peaks(role string, times int) int {
	f.lock.Lock()
	for _, p := range f.processes {
		if p.role != role {
			continue
		}
		f.b.note("%s on %s: peak %d MB of %d, over its memory %d times, other own ends %d", p.role, p.machine.name,
			p.peakKB*1024/1000/1000, p.machine.memoryMB, p.overMemory, p.ownEnds)
	}
	f.lock.Unlock()
	return f.endedOften(role, times)
}
