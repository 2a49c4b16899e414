package scheduler

// drainLocked empties a machine that the cloud will take away, or whose lease
// will expire: replicas move at once, and what can save is stopped in time. The
// rest runs on: it may finish before, and stopping it would lose it anyway.
func (s *Scheduler) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.Sized {
			continue
		}
		if a.Service || a.GraceS > 0 || a.Running.IsZero() {
			s.log.Info("draining", "task", a.Task, "machine", m.Name)
			a.Stop = true
			s.sendLocked(m)
		}
	}
}

// removeReleasedLocked removes a machine that was released to the cloud.
func (s *Scheduler) removeReleasedLocked(m *machine) {
	s.handleLocked(m, m.MarkReleased())
	s.packer.Open.Close(m.packing)
	s.checkpoints.Leave(&m.record)
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// Whoever takes over what is ours must not take it for a machine.
		s.transfers.Release(m.Name)
	}
}
