package wire

import (
	"regexp"
	"strconv"
	"strings"
)

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,20}$`)

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// TaskID returns the id of a task of a job. The index of the first task is 0.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskID returns the job and the index of a task id. ok is false if task does not have
// the form of an id returned by TaskID.
func SplitTaskID(task string) (job string, index int, ok bool) {
	job, number, found := strings.Cut(task, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != number {
		return "", 0, false
	}
	return job, index, true
}

// NoTask is the ID of a task that cannot exist, since that of its job is not valid. Every
// worker refuses to start it (ExitUnknown).
const NoTask = "none/0"
