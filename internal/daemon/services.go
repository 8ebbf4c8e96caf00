package daemon

import (
	"context"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/front"
	"tackbeam.example/tackbeam/internal/home"
	"tackbeam.example/tackbeam/internal/kernel"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/owner"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/recorder"
	"tackbeam.example/tackbeam/internal/router"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/table"
	"tackbeam.example/tackbeam/internal/vms"

	homepolicy "tackbeam.example/policy/home"
	policy "tackbeam.example/policy/owner"
)

// The names that services find each other by.
const (
	nameMeter    = "meter"
	nameRecorder = "recorder"
	nameStore    = "store"
	namePeer     = "peer"
	nameMember   = "member"
	nameVMs      = "vms"
	nameTable    = "table"
	nameOwner    = "owner"
	nameHome     = "home"
	nameRouter   = "router"
	nameFront    = "front"
	nameJoin     = "join"
)

// services lists the services in the order in which they start.
func (dm *Daemon) services() []*kernel.Service {
	return []*kernel.Service{
		dm.meterService(), dm.recorderService(), dm.storeService(), dm.peerService(),
		dm.memberService(), dm.vmsService(), dm.tableService(), dm.ownerService(),
		dm.homeService(), dm.routerService(), dm.frontService(), dm.joinService(),
	}
}

func (dm *Daemon) limits() policy.Limits {
	lim := policy.DefaultLimits()
	lim.Queue = dm.settings.Limits.Queue
	return lim
}

func (dm *Daemon) meterService() *kernel.Service {
	return &kernel.Service{Name: nameMeter, Build: func(*kernel.Kernel) (any, error) {
		return meter.New(dm.clock.Now()), nil
	}}
}

func (dm *Daemon) recorderService() *kernel.Service {
	var rc *recorder.Recorder
	return &kernel.Service{
		Name: nameRecorder,
		Build: func(*kernel.Kernel) (any, error) {
			var err error
			rc, err = recorder.New(dm.settings.Record.Path, recorder.Header{
				Node: dm.settings.Node, Limits: dm.limits(), AtOnce: home.MaxConcurrentTries,
				Rules: homepolicy.DefaultRules(),
			})
			return rc, err
		},
		Stop: func(ctx context.Context) error { return rc.Stop(ctx) },
	}
}

func (dm *Daemon) storeService() *kernel.Service {
	return &kernel.Service{Name: nameStore, Build: func(*kernel.Kernel) (any, error) {
		so := dm.settings.Store
		return store.New(dm.clock, store.HTTP(so.Addresses), store.Options{
			Writes: so.Writes, Reads: so.Reads, Timeout: so.Timeout,
		}), nil
	}}
}

func (dm *Daemon) peerService() *kernel.Service {
	var pr *peer.Peer
	return &kernel.Service{
		Name: namePeer,
		Build: func(*kernel.Kernel) (any, error) {
			cf := dm.settings.Peer
			ring, err := keys.New(dm.clock, dm.log, cf.Cert, cf.Key, cf.CA)
			if err != nil {
				return nil, err
			}
			pr, err = peer.New(dm.settings.Node, cf.Listen, ring, dm.log)
			return pr, err
		},
		Start: func(context.Context) error { return pr.Serve() },
		Stop:  func(context.Context) error { return pr.Close() },
	}
}

func (dm *Daemon) memberService() *kernel.Service {
	return &kernel.Service{Name: nameMember, Build: func(kn *kernel.Kernel) (any, error) {
		fd := kn.Finder()
		var cl *store.Client
		var pr *peer.Peer
		kernel.Find(fd, nameStore, &cl)
		kernel.Find(fd, namePeer, &pr)
		if fd.Err() != nil {
			return nil, fd.Err()
		}
		st := dm.settings
		addr := st.Peer.Advertise
		if addr == "" {
			addr = pr.Addr()
		}
		pr.SetSelf(addr)
		return member.New(dm.clock, dm.log, cl, pr, member.Options{
			Node: clustermap.Node{
				Name: st.Node, Peer: addr, HTTP: st.HTTP.Listen, Region: st.Region, Hall: st.Hall,
			},
			HeartbeatInterval: st.Member.Beat, SuspectAfter: st.Member.Suspect, LeaseTTL: st.Store.Lease,
		}), nil
	}}
}

func (dm *Daemon) vmsService() *kernel.Service {
	var ls *vms.List
	return &kernel.Service{
		Name: nameVMs,
		Build: func(*kernel.Kernel) (any, error) {
			cf := dm.settings.VMs
			ls = vms.New(dm.clock, dm.log, vms.HTTP(cf.Address, dm.settings.Store.Timeout), cf.Every)
			return ls, nil
		},
		Stop: func(ctx context.Context) error { return ls.Stop(ctx) },
	}
}

func (dm *Daemon) tableService() *kernel.Service {
	var tb *table.Table
	return &kernel.Service{
		Name: nameTable,
		Build: func(kn *kernel.Kernel) (any, error) {
			fd := kn.Finder()
			var cl *store.Client
			var pr *peer.Peer
			var mb *member.Member
			kernel.Find(fd, nameStore, &cl)
			kernel.Find(fd, namePeer, &pr)
			kernel.Find(fd, nameMember, &mb)
			if fd.Err() != nil {
				return nil, fd.Err()
			}
			tb = table.New(dm.clock, dm.log, cl, pr, mb.FreshAddresses)
			mb.OnTableDiffers(tb.CatchUp)
			return tb, nil
		},
		Start: func(ctx context.Context) error { return tb.Start(ctx) },
		Stop:  func(ctx context.Context) error { return tb.Stop(ctx) },
	}
}

func (dm *Daemon) ownerService() *kernel.Service {
	var ow *owner.Owner
	return &kernel.Service{
		Name: nameOwner,
		Build: func(kn *kernel.Kernel) (any, error) {
			pt, err := dm.ownerParts(kn)
			if err != nil {
				return nil, err
			}
			ow = owner.New(pt, owner.Options{
				Name: dm.settings.Node, Limits: dm.limits(), DrainTimeout: dm.settings.Limits.Drain, LeaseGuard: dm.settings.Owner.Guard, MaxLease: dm.settings.Owner.Lease,
			})
			return ow, nil
		},
		Start: func(ctx context.Context) error { return ow.Start(ctx) },
		Stop:  func(ctx context.Context) error { return ow.Stop(ctx) },
	}
}

func (dm *Daemon) ownerParts(kn *kernel.Kernel) (owner.Services, error) {
	pt := owner.Services{Clock: dm.clock, Log: dm.log}
	fd := kn.Finder()
	kernel.Find(fd, nameMember, &pt.Member)
	kernel.Find(fd, nameVMs, &pt.VMs)
	kernel.Find(fd, namePeer, &pt.Peer)
	kernel.Find(fd, nameMeter, &pt.Meter)
	kernel.Find(fd, nameRecorder, &pt.Recorder)
	return pt, fd.Err()
}

func (dm *Daemon) homeService() *kernel.Service {
	var hm *home.Home
	return &kernel.Service{
		Name: nameHome,
		Build: func(kn *kernel.Kernel) (any, error) {
			pt, err := dm.homeParts(kn)
			if err != nil {
				return nil, err
			}
			hm = home.New(pt, home.Options{
				MaxUnfinishedJobs: dm.settings.Limits.WaitingJobs, JobRetention: dm.settings.Limits.KeepJobs,
				QueryAfter: dm.settings.Limits.Ask,
			})
			return hm, nil
		},
		Start: func(ctx context.Context) error { return hm.Start(ctx) },
		Stop:  func(ctx context.Context) error { return hm.Stop(ctx) },
	}
}

func (dm *Daemon) homeParts(kn *kernel.Kernel) (home.Services, error) {
	pt := home.Services{Clock: dm.clock, Log: dm.log}
	fd := kn.Finder()
	var ow *owner.Owner
	kernel.Find(fd, nameOwner, &ow)
	var ls *vms.List
	kernel.Find(fd, nameVMs, &ls)
	pt.Local = home.Local{
		VMCount: ls.Len, Summary: ow.Summary, Hold: ow.Hold, Commit: ow.Commit, Release: ow.Release,
		Order: ow.Order, Ack: ow.Ack,
	}
	kernel.Find(fd, nameMember, &pt.Member)
	kernel.Find(fd, nameStore, &pt.Store)
	kernel.Find(fd, namePeer, &pt.Peer)
	kernel.Find(fd, nameTable, &pt.Table)
	kernel.Find(fd, nameMeter, &pt.Meter)
	kernel.Find(fd, nameRecorder, &pt.Recorder)
	return pt, fd.Err()
}

func (dm *Daemon) routerService() *kernel.Service {
	return &kernel.Service{Name: nameRouter, Build: func(kn *kernel.Kernel) (any, error) {
		fd := kn.Finder()
		var mb *member.Member
		var pr *peer.Peer
		var mt *meter.Meter
		var ow *owner.Owner
		var hm *home.Home
		kernel.Find(fd, nameMember, &mb)
		kernel.Find(fd, namePeer, &pr)
		kernel.Find(fd, nameMeter, &mt)
		kernel.Find(fd, nameOwner, &ow)
		kernel.Find(fd, nameHome, &hm)
		if fd.Err() != nil {
			return nil, fd.Err()
		}
		return router.New(dm.clock, mb, pr, mt, router.Local{
			Load: ow.Load, Lookup: ow.Lookup, Submit: hm.Submit, Get: hm.Get, Cancel: hm.Cancel,
		}), nil
	}}
}

func (dm *Daemon) frontService() *kernel.Service {
	var fr *front.Front
	return &kernel.Service{
		Name: nameFront,
		Build: func(kn *kernel.Kernel) (any, error) {
			pt, err := dm.frontParts(kn)
			if err != nil {
				return nil, err
			}
			st := dm.settings
			fr = front.New(pt, front.Options{
				Listen: st.HTTP.Listen, LookupBody: st.Limits.LookupBody, JobBody: st.Limits.JobBody,
				DefaultTimeout: st.Limits.DefaultTimeout, MaxTimeout: st.Limits.MaxTimeout,
				Tasks: st.Limits.Tasks, Drain: st.Limits.Drain,
			})
			return fr, nil
		},
		Start: func(ctx context.Context) error { return fr.Start(ctx) },
		Stop:  func(ctx context.Context) error { return fr.Stop(ctx) },
	}
}

func (dm *Daemon) frontParts(kn *kernel.Kernel) (front.Parts, error) {
	pt := front.Parts{Clock: dm.clock, Log: dm.log}
	fd := kn.Finder()
	var ow *owner.Owner
	var hm *home.Home
	kernel.Find(fd, nameOwner, &ow)
	kernel.Find(fd, nameHome, &hm)
	kernel.Find(fd, nameMember, &pt.Member)
	kernel.Find(fd, namePeer, &pt.Peer)
	kernel.Find(fd, nameRouter, &pt.Router)
	kernel.Find(fd, nameTable, &pt.Table)
	kernel.Find(fd, nameMeter, &pt.Meter)
	if fd.Err() != nil {
		return pt, fd.Err()
	}
	dm.handleOperators(pt.Peer, ow)
	pt.Local = front.Local{
		Info: dm.info, Workers: ow.Workers, Jobs: hm.List,
		DrainNode: dm.Drain, DrainWorker: ow.DrainWorker, Ready: dm.notReady,
	}
	return pt, nil
}

func (dm *Daemon) handleOperators(pr *peer.Peer, ow *owner.Owner) {
	peer.Handle(pr, nodemsg.KindWorkers, func(context.Context, string, nodemsg.Empty) (nodemsg.Workers, error) {
		return ow.Workers(), nil
	})
	peer.Handle(pr, nodemsg.KindNodeInfo, func(context.Context, string, nodemsg.Empty) (nodemsg.NodeInfo, error) {
		return dm.info(), nil
	})
	peer.Handle(pr, nodemsg.KindDrain, func(ctx context.Context, _ string, dr nodemsg.Drain) (nodemsg.Empty, error) {
		if dr.Worker != "" {
			return nodemsg.Empty{}, ow.DrainWorker(ctx, dr.Worker)
		}
		dm.Drain()
		return nodemsg.Empty{}, nil
	})
}

// joinService makes the node a member once everything else is ready for work.
func (dm *Daemon) joinService() *kernel.Service {
	var mb *member.Member
	var ls *vms.List
	return &kernel.Service{
		Name: nameJoin,
		Build: func(kn *kernel.Kernel) (any, error) {
			fd := kn.Finder()
			kernel.Find(fd, nameVMs, &ls)
			kernel.Find(fd, nameMember, &mb)
			if fd.Err() == nil {
				mb.SetHeartbeatFiller(dm.fillBeat)
			}
			return nameJoin, fd.Err()
		},
		Start: func(ctx context.Context) error {
			mb.SetHTTP(dm.front.Addr())
			if err := mb.Start(ctx); err != nil {
				return err
			}
			return ls.Start(ctx)
		},
		Stop: func(ctx context.Context) error { return mb.Stop(ctx) },
	}
}
