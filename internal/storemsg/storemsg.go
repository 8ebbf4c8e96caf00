// Package storemsg holds the bodies of the platform's key-value service, as the
// stand-in store speaks them: JSON over HTTP, values in base64.
package storemsg

// The paths of the service. Put and Lease count as writes, Get and Watch as reads.
const (
	GetPath   = "/v1/get"
	PutPath   = "/v1/put"
	LeasePath = "/v1/lease"
	WatchPath = "/v1/watch"
)

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

// Item is one key. Version is the store's revision at the key's last change; a
// key that is absent has version 0.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// GetRequest reads one key, or all keys with a prefix.
type GetRequest struct {
	Key    string `json:"key,omitempty"`
	Prefix string `json:"prefix,omitempty"`
}

// ItemsResponse answers a get or a watch. Compacted says that changes after the
// watch's revision were forgotten; the caller reads everything again.
type ItemsResponse struct {
	Items     []Item `json:"items"`
	Revision  uint64 `json:"revision"`
	Compacted bool   `json:"compacted,omitempty"`
}

// PutRequest changes a key if its version is still Version.
type PutRequest struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Delete  bool   `json:"delete,omitempty"`
	Lease   string `json:"lease,omitempty"`
}

// PutResponse says whether the change took effect, with the key as it is now.
type PutResponse struct {
	OK   bool `json:"ok"`
	Item Item `json:"item"`
}

// LeaseRequest makes a lease, or renews the one of the id. TTL is in milliseconds.
type LeaseRequest struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl_ms"`
}

// LeaseResponse names the lease.
type LeaseResponse struct {
	ID  string `json:"id"`
	TTL int64  `json:"ttl_ms"`
}

// WatchRequest waits for changes under a prefix after a revision, at most Wait
// milliseconds.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	Wait   int64  `json:"wait_ms"`
}
