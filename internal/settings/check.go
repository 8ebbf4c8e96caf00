package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"
)

var nodeNamePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9-]{0,62}$`)

// checker collects the invalid settings.
type checker struct{ violations []string }

func (ck *checker) require(ok bool, path, allowed string) {
	if !ok {
		ck.violations = append(ck.violations, path+": "+allowed)
	}
}

func (ck *checker) address(value, path string) {
	_, err := netip.ParseAddrPort(value)
	ck.require(err == nil, path, "an IP address and port such as 127.0.0.1:7420")
}

func (ck *checker) file(value, path string) {
	if value == "" {
		return
	}
	fd, err := os.Open(value)
	ck.require(err == nil, path, "a file that can be read")
	if err == nil {
		_ = fd.Close() // opened only to check that it can be read
	}
}

func (ck *checker) durationBetween(value, low, high time.Duration, path string) {
	ck.require(value >= low && value <= high, path, fmt.Sprintf("a time from %v to %v", low, high))
}

func (ck *checker) intBetween(value, low, high int, path string) {
	ck.require(value >= low && value <= high, path, fmt.Sprintf("a whole number from %d to %d", low, high))
}

// Check returns all invalid settings, each with its path and the allowed values.
func (st *Settings) Check() []string {
	ck := &checker{}
	ck.require(nodeNamePattern.MatchString(st.Node), "node", "1 to 63 letters, digits and dashes")
	ck.require(st.Hall != "", "hall", "the name of a data hall")
	ck.require(st.Region != "", "region", "the name of a region")
	ck.address(st.HTTP.Listen, "http.listen")
	ck.peer(st.Peer)
	ck.store(st.Store)
	ck.address(st.VMs.Address, "vms.address")
	ck.durationBetween(st.VMs.Interval, 100*time.Millisecond, time.Minute, "vms.every")
	ck.durationBetween(st.Owner.MaxLease, 100*time.Millisecond, time.Hour, "owner.lease")
	ck.durationBetween(st.Owner.LeaseGuard, 100*time.Millisecond, 10*time.Minute, "owner.guard")
	ck.limits(st.Limits)
	ck.durationBetween(st.Member.HeartbeatInterval, 10*time.Millisecond, 10*time.Second, "member.beat")
	ck.durationBetween(st.Member.SuspectAfter, 2*st.Member.HeartbeatInterval, time.Minute, "member.suspect")
	ck.intBetween(st.Log.Verbosity, 0, 9, "log.verbosity")
	return ck.violations
}

func (ck *checker) peer(pr Peer) {
	ck.address(pr.Listen, "peer.listen")
	if pr.Advertise != "" {
		ck.address(pr.Advertise, "peer.advertise")
	}
	ck.require(pr.Cert != "", "peer.cert", "a file; make a test set with: tackbeam keys DIR")
	ck.require(pr.Key != "", "peer.key", "a file; make a test set with: tackbeam keys DIR")
	ck.require(pr.CA != "", "peer.ca", "a file; make a test set with: tackbeam keys DIR")
	ck.file(pr.Cert, "peer.cert")
	ck.file(pr.Key, "peer.key")
	ck.file(pr.CA, "peer.ca")
}

func (ck *checker) store(so Store) {
	ck.require(len(so.Addresses) > 0, "store.addresses", "at least one address")
	for i, addr := range so.Addresses {
		ck.address(addr, fmt.Sprintf("store.addresses[%d]", i))
	}
	ck.require(so.WriteRate > 0, "store.writes", "a number above 0")
	ck.require(so.ReadRate > 0, "store.reads", "a number above 0")
	ck.durationBetween(so.Timeout, 10*time.Millisecond, 30*time.Second, "store.timeout")
	ck.durationBetween(so.LeaseTTL, time.Second, 5*time.Minute, "store.lease")
}

func (ck *checker) limits(li Limits) {
	const mebibyte = 1 << 20
	ck.intBetween(li.MaxLookupBody, 1, mebibyte/2, "limits.lookup_body")
	ck.intBetween(li.MaxJobBody, 1, mebibyte/4, "limits.job_body")
	ck.durationBetween(li.DefaultTimeout, time.Millisecond, li.MaxTimeout, "limits.default_timeout")
	ck.durationBetween(li.MaxTimeout, time.Millisecond, time.Hour, "limits.max_timeout")
	ck.intBetween(li.MaxQueuedLookups, 1, mebibyte, "limits.queue")
	ck.intBetween(li.MaxUnfinishedJobs, 1, mebibyte, "limits.waiting_jobs")
	ck.intBetween(li.MaxTasks, 1, 10000, "limits.tasks")
	ck.durationBetween(li.QueryAfter, 100*time.Millisecond, time.Hour, "limits.ask")
	ck.durationBetween(li.JobRetention, time.Minute, 7*24*time.Hour, "limits.keep_jobs")
	ck.durationBetween(li.DrainTimeout, time.Second, 10*time.Minute, "limits.drain")
	ck.durationBetween(li.UnreadyDelay, 0, li.DrainTimeout, "limits.unready")
}
