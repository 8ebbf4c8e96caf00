package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"
)

var nodeName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9-]{0,62}$`)

// checker gathers the faults of settings.
type checker struct{ faults []string }

func (ck *checker) need(ok bool, path, allowed string) {
	if !ok {
		ck.faults = append(ck.faults, path+": "+allowed)
	}
}

func (ck *checker) address(value, path string) {
	_, err := netip.ParseAddrPort(value)
	ck.need(err == nil, path, "an IP address and port such as 127.0.0.1:7420")
}

func (ck *checker) file(value, path string) {
	if value == "" {
		return
	}
	fd, err := os.Open(value)
	ck.need(err == nil, path, "a file that can be read")
	if err == nil {
		_ = fd.Close() // opened only to see whether it can be read
	}
}

func (ck *checker) between(value, low, high time.Duration, path string) {
	ck.need(value >= low && value <= high, path, fmt.Sprintf("a time from %v to %v", low, high))
}

func (ck *checker) count(value, low, high int, path string) {
	ck.need(value >= low && value <= high, path, fmt.Sprintf("a whole number from %d to %d", low, high))
}

// Check returns every fault of the settings, each with its path and what is allowed.
func (st *Settings) Check() []string {
	ck := &checker{}
	ck.need(nodeName.MatchString(st.Node), "node", "1 to 63 letters, digits and dashes")
	ck.need(st.Hall != "", "hall", "the name of a data hall")
	ck.need(st.Region != "", "region", "the name of a region")
	ck.address(st.HTTP.Listen, "http.listen")
	ck.peer(st.Peer)
	ck.store(st.Store)
	ck.address(st.VMs.Address, "vms.address")
	ck.between(st.VMs.Every, 100*time.Millisecond, time.Minute, "vms.every")
	ck.between(st.Owner.MaxLease, 100*time.Millisecond, time.Hour, "owner.lease")
	ck.between(st.Owner.LeaseGuard, 100*time.Millisecond, 10*time.Minute, "owner.guard")
	ck.limits(st.Limits)
	ck.between(st.Member.HeartbeatInterval, 10*time.Millisecond, 10*time.Second, "member.beat")
	ck.between(st.Member.SuspectAfter, 2*st.Member.HeartbeatInterval, time.Minute, "member.suspect")
	ck.count(st.Log.Verbosity, 0, 9, "log.verbosity")
	return ck.faults
}

func (ck *checker) peer(pr Peer) {
	ck.address(pr.Listen, "peer.listen")
	if pr.Advertise != "" {
		ck.address(pr.Advertise, "peer.advertise")
	}
	ck.need(pr.Cert != "", "peer.cert", "a file; make a test set with: tackbeam keys DIR")
	ck.need(pr.Key != "", "peer.key", "a file; make a test set with: tackbeam keys DIR")
	ck.need(pr.CA != "", "peer.ca", "a file; make a test set with: tackbeam keys DIR")
	ck.file(pr.Cert, "peer.cert")
	ck.file(pr.Key, "peer.key")
	ck.file(pr.CA, "peer.ca")
}

func (ck *checker) store(so Store) {
	ck.need(len(so.Addresses) > 0, "store.addresses", "at least one address")
	for i, addr := range so.Addresses {
		ck.address(addr, fmt.Sprintf("store.addresses[%d]", i))
	}
	ck.need(so.Writes > 0, "store.writes", "a number above 0")
	ck.need(so.Reads > 0, "store.reads", "a number above 0")
	ck.between(so.Timeout, 10*time.Millisecond, 30*time.Second, "store.timeout")
	ck.between(so.Lease, time.Second, 5*time.Minute, "store.lease")
}

func (ck *checker) limits(li Limits) {
	const mebibyte = 1 << 20
	ck.count(li.LookupBody, 1, mebibyte/2, "limits.lookup_body")
	ck.count(li.JobBody, 1, mebibyte/4, "limits.job_body")
	ck.between(li.DefaultTimeout, time.Millisecond, li.MaxTimeout, "limits.default_timeout")
	ck.between(li.MaxTimeout, time.Millisecond, time.Hour, "limits.max_timeout")
	ck.count(li.Queue, 1, mebibyte, "limits.queue")
	ck.count(li.MaxUnfinishedJobs, 1, mebibyte, "limits.waiting_jobs")
	ck.count(li.Tasks, 1, 10000, "limits.tasks")
	ck.between(li.QueryAfter, 100*time.Millisecond, time.Hour, "limits.ask")
	ck.between(li.JobRetention, time.Minute, 7*24*time.Hour, "limits.keep_jobs")
	ck.between(li.DrainTimeout, time.Second, 10*time.Minute, "limits.drain")
	ck.between(li.UnreadyDelay, 0, li.DrainTimeout, "limits.unready")
}
