package fleet

// sentStarts records how the start of an attempt was sent to its worker. From that follows
// whether the worker may still execute a copy of the start, now or later.
type sentStarts struct {
	// Replies to heartbeats.
	inReply    bool   // a reply has contained the start
	replySeq   uint64 // sequence number of the last heartbeat whose reply contained it
	replyToken uint64 // fencing token of that reply

	// Direct requests.
	inFlight             int    // number of requests in flight that contain the start
	maxDirectToken       uint64 // highest fencing token of those that were sent before
	maxDirectIncarnation uint64 // highest incarnation that any of them was for
}

// none reports whether the start has never been sent.
func (s *sentStarts) none() bool { return !s.inReply && s.inFlight == 0 && s.maxDirectToken == 0 }

// sentInReply records a reply with the start to the heartbeat with a sequence number.
func (s *sentStarts) sentInReply(heartbeatSeq, token uint64) {
	s.inReply, s.replySeq, s.replyToken = true, heartbeatSeq, token
}

// sendingDirectly records that a direct request with the start is being sent to an
// incarnation of the worker. directRequestDone must follow.
func (s *sentStarts) sendingDirectly(incarnation uint64) {
	s.inFlight++
	s.maxDirectIncarnation = max(s.maxDirectIncarnation, incarnation)
}

// directRequestDone records the end of a direct request with the start. sent is false if
// the request certainly was not sent.
func (s *sentStarts) directRequestDone(token uint64, sent bool) {
	s.inFlight = max(0, s.inFlight-1) // the attempt may have been found anew since the request was sent
	if sent {
		s.maxDirectToken = max(s.maxDirectToken, token)
	}
}

// directMayArrive reports whether a worker that has seen a fencing token may still execute
// the start from a direct request: one is in flight, or one that was sent before, under
// this token or a higher one, arrives late or again.
func (s *sentStarts) directMayArrive(token uint64) bool {
	return s.inFlight > 0 || s.maxDirectToken > 0 && s.maxDirectToken >= token
}

// replyMayArrive reports whether a worker that has seen a fencing token may still execute
// the start from a reply. It sends its next unsolicited heartbeat only after it has
// executed the reply to the last one or has given up waiting for it, and it drops a reply
// with a lower token. So heartbeatSeq, the sequence number of its newest unsolicited
// heartbeat, decides. The response to a direct request proves nothing of that kind: the
// worker may send it while the reply is still on its way.
func (s *sentStarts) replyMayArrive(heartbeatSeq, token uint64) bool {
	return s.inReply && heartbeatSeq <= s.replySeq && token <= s.replyToken
}

// mayArrive reports whether a worker that has seen a fencing token may still execute the
// start.
func (s *sentStarts) mayArrive(heartbeatSeq, token uint64) bool {
	return s.directMayArrive(token) || s.replyMayArrive(heartbeatSeq, token)
}
