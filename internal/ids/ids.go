// Package ids generates the identifiers of jobs, tasks, lookups and writes, and maps
// workspaces to partitions.
package ids

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions over which workspaces are distributed.
const Partitions = 64

// partitionDigits is the number of hexadecimal digits of the partition in a job id.
const partitionDigits = 2

var encoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// Random returns n random bytes, encoded in lower-case letters and digits.
func Random(n int) string {
	raw := make([]byte, n)
	if _, err := rand.Read(raw); err != nil {
		panic(err) // crypto/rand never fails on the systems that Go supports
	}
	return encoding.EncodeToString(raw)
}

// Partition returns the partition of a workspace.
func Partition(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Partitions)
}

// NewJob returns a new job id that contains the partition of the workspace.
func NewJob(workspace string) string {
	return fmt.Sprintf("j%0*x%s", partitionDigits, Partition(workspace), Random(10))
}

// JobPartition returns the partition in a job id.
func JobPartition(job string) (int, bool) {
	if len(job) <= 1+partitionDigits || job[0] != 'j' {
		return 0, false
	}
	n, err := strconv.ParseUint(job[1:1+partitionDigits], 16, 8)
	if err != nil || n >= Partitions {
		return 0, false
	}
	return int(n), true
}

// Task returns the id of a task of an attempt of a job.
func Task(job string, attempt, index int) string {
	return fmt.Sprintf("%s.%d.%d", job, attempt, index)
}

// ParseTask returns the job, attempt and index in a task id.
func ParseTask(task string) (job string, attempt, index int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 3 {
		return "", 0, 0, false
	}
	attempt, err1 := strconv.Atoi(parts[1])
	index, err2 := strconv.Atoi(parts[2])
	return parts[0], attempt, index, err1 == nil && err2 == nil
}
