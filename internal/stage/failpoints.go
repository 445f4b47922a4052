package stage

// failpoints take safeguards out, one at a time, for the tests that show that each is missed.
type failpoints struct {
	tellsFirst   bool // the record is not written before processes are told
	noFence      bool // orders of a lower number are obeyed
	anyOrder     bool // stages are skipped
	noPairs      bool // new figures are held against old ones of before
	noCluster    bool // processes are taken for alike, calls for independent
	peeks        bool // a test for one look is taken at every look
	noNeighbours bool
	noRoom       bool // capacity is not looked at
	noCrash      bool // crashes are not counted
}
