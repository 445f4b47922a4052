package stage

// failpoints disable safeguards, one at a time, for the tests that show that each one is needed.
type failpoints struct {
	tellsFirst   bool // orders are sent before the record is stored
	noFence      bool // orders with a lower fencing number are carried out
	anyOrder     bool // stages are skipped
	noPairs      bool // new figures are compared with old ones from before the change
	noCluster    bool // processes are treated as alike and calls as independent
	peeks        bool // a test for a single evaluation is applied at each
	noNeighbours bool
	noRoom       bool // capacity is not checked
	noCrash      bool // crashes are not counted
}
