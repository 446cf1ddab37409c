package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor times in /proc: USER_HZ, which is 100
// on Linux.
const ticksPerSecond = 100

// Usage is the resource use of a process over an interval.
type Usage struct {
	// Core is the average number of processors used: 1 is a whole core.
	Core float64
	// ResidentBytes is the resident memory at the end, PeakBytes its highest value.
	ResidentBytes int64
	PeakBytes     int64
	// ReadPerSecond and WrittenPerSecond are the bytes per second that passed through
	// read and write system calls: TCP, files and the log, but not UDP.
	ReadPerSecond    float64
	WrittenPerSecond float64
}

// Sample is a reading of the counters of a process from /proc.
type Sample struct {
	at       time.Time
	ticks    int64
	resident int64
	peak     int64
	read     int64
	written  int64
}

// ReadProcess reads the counters of a process.
func ReadProcess(pid int) (Sample, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	sample := Sample{at: time.Now()}
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return sample, err
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return sample, err
	}
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return sample, err
	}
	sample.ticks, err = ticksOf(string(stat))
	sample.resident = kilobytes(string(status), "VmRSS:")
	sample.peak = kilobytes(string(status), "VmHWM:")
	sample.read = fieldValue(string(io), "rchar:")
	sample.written = fieldValue(string(io), "wchar:")
	return sample, err
}

// ticksOf returns the sum of user and system time of a line of /proc/PID/stat, in
// ticks. It skips the program name in parentheses, which may itself contain spaces
// and parentheses.
func ticksOf(stat string) (int64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime = 11, 12 // indexes of utime and stime among the fields after the name
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("stat line %q is too short", stat)
	}
	user, err := strconv.ParseInt(fields[userTime], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemTime], 10, 64)
	return user + system, err
}

func kilobytes(text, key string) int64 { return fieldValue(text, key) << 10 }

// fieldValue returns the number that follows the key at the start of a line, or 0 if
// there is none.
func fieldValue(text, key string) int64 {
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, key)
		if !found {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			return 0
		}
		value, _ := strconv.ParseInt(fields[0], 10, 64) // 0 if the field is not a number
		return value
	}
	return 0
}

// Since returns the resource use between an earlier sample and this one.
func (s Sample) Since(earlier Sample) Usage {
	seconds := s.at.Sub(earlier.at).Seconds()
	return Usage{
		Core:             float64(s.ticks-earlier.ticks) / ticksPerSecond / seconds,
		ResidentBytes:    s.resident,
		PeakBytes:        s.peak,
		ReadPerSecond:    float64(s.read-earlier.read) / seconds,
		WrittenPerSecond: float64(s.written-earlier.written) / seconds,
	}
}
