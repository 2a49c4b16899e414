package fleet

import "math"

// sentStart records how the start of an attempt was sent to its worker. From that follows
// whether the worker may still execute the start, now or later.
//
// A start is sent only in replies to heartbeats. The worker drops a reply that it does not
// wait for, so no copy of it is ever executed. A direct request is executed as long as its
// token and its incarnation match, which they also do after a restart of the worker: its
// numbers begin anew. No later message can exclude that, so a direct request contains no
// start.
type sentStart struct {
	sent  bool   // a reply has contained the start
	seq   uint64 // sequence number of the last heartbeat whose reply contained it
	token uint64 // fencing token of that reply
}

// sentBefore returns the state of a start that an earlier owner of the machine may have
// sent under any token below this one, also directly: earlier versions of the software did.
func sentBefore(token uint64) sentStart {
	return sentStart{sent: true, seq: math.MaxUint64, token: token - 1}
}

// record records a reply with the start to the heartbeat with a sequence number.
func (s *sentStart) record(heartbeatSeq, token uint64) {
	s.sent, s.seq, s.token = true, heartbeatSeq, token
}

// mayArrive reports whether a worker that has seen a fencing token may still execute the
// start. It sends its next unsolicited heartbeat only after it has executed the reply to the
// last one or has given up waiting for it, and it drops a reply with a lower token. So
// heartbeatSeq, the sequence number of its newest unsolicited heartbeat, decides. The
// response to a direct request proves nothing of that kind: the worker may send it while the
// reply is still on its way.
func (s *sentStart) mayArrive(heartbeatSeq, token uint64) bool {
	return s.sent && heartbeatSeq <= s.seq && token <= s.token
}
