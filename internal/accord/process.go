package accord

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ParseStat reads a process's state and its start time, in clock ticks since boot, from its line in /proc/PID/stat (proc(5)).
func ParseStat(line string) (state string, start uint64, err error) {
	i := strings.LastIndexByte(line, ')') // the process name may contain spaces and parentheses
	fields := strings.Fields(line[i+1:])
	if i < 0 || len(fields) < 20 {
		return "", 0, fmt.Errorf("malformed line of /proc/PID/stat: %.60q", line)
	}
	start, err = strconv.ParseUint(fields[19], 10, 64)
	return fields[0], start, err
}

// CurrentProcess identifies the calling process.
func CurrentProcess() (Process, error) {
	data, err := os.ReadFile("/proc/self/stat")
	if err != nil {
		return Process{}, err
	}
	_, start, err := ParseStat(string(data))
	return Process{os.Getpid(), start}, err
}
