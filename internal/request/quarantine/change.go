package quarantine

// Change is a change of what a Tracker suspects: Suspected, TrialBegun or Cleared.
type Change interface{ isChange() }

// Suspected says that requests with the part are refused from now on. Parts is the number
// of parts suspected together, of which the likeliest are reported. ByPeer is true if another
// entry noticed the crash.
type Suspected struct {
	Record Record
	Parts  int
	ByPeer bool
}

// TrialBegun says that one request with the part is sent, to find out whether it still
// crashes endpoints.
type TrialBegun struct{ Record Record }

// Cleared says that an endpoint responded to a request with the part. ByPeer is true if
// that was another entry's request.
type Cleared struct {
	Record Record
	ByPeer bool
}

func (Suspected) isChange()  {}
func (TrialBegun) isChange() {}
func (Cleared) isChange()    {}
