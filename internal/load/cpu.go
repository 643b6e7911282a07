package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// userHZ is the unit of times in /proc/PID/stat: fixed at 100 a second for user space on Linux (proc_pid_stat(5)).
const userHZ = 100

// cpuOf is the CPU time that processes have taken so far, to 10 ms.
func cpuOf(pids []int) (sum time.Duration, err error) {
	for _, pid := range pids {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
		}
		ticks, err := ticksOf(text)
		if err != nil {
			return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
		}
		sum += time.Duration(ticks) * time.Second / userHZ
	}
	return sum, nil
}

// ticksOf reads user and system time. The name of the program, in brackets, may hold anything.
func ticksOf(stat []byte) (int64, error) {
	f := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("no times in %.40q", stat)
	}
	user, err := strconv.ParseInt(string(f[11]), 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(string(f[12]), 10, 64)
	return user + system, err
}

// ownCPU is the CPU time that this process has taken so far.
func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
