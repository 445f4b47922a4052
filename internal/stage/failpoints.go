package stage

// failpoints disable safeguards, one at a time, for the tests that show that each one is needed.
type failpoints struct {
	ordersBeforeRecord bool // orders are sent before the record is stored
	ignoreFence        bool // orders with a lower fencing number are carried out
	skipStage          bool // stages are skipped
	unpaired           bool // new figures are compared with old ones from before the change
	assumeIndependent  bool // processes are treated as alike and calls as independent
	fixedSampleTest    bool // a test for a single evaluation is applied at each
	ignoreNeighbours   bool
	ignoreCapacity     bool // capacity is not checked
	ignoreCrashes      bool // crashes are not counted
}
