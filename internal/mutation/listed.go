package main

// The packages that a mistake is looked for in.
var (
	chainTests    = []string{"./internal/chain"}
	logTests      = []string{"./internal/logfile"}
	configTests   = []string{"./internal/config"}
	feedTests     = []string{"./internal/distribution"}
	registryTests = []string{"./internal/registry"}
	proxyTests    = []string{"./internal/proxy", "./internal/upstream"}
	controlTests  = []string{"./internal/control"}
)

// listed are the mistakes that are planted by hand, by the part of the control side that they are made in.
func listed() []mistake {
	var all []mistake
	all = append(all, acceptorMistakes()...)
	all = append(all, chainMistakes()...)
	all = append(all, followerMistakes()...)
	all = append(all, logMistakes()...)
	all = append(all, configMistakes()...)
	all = append(all, feedMistakes()...)
	all = append(all, registryMistakes()...)
	all = append(all, proxyMistakes()...)
	return append(all, controlMistakes()...)
}

// acceptorMistakes are made in deciding the next view.
func acceptorMistakes() []mistake {
	const acceptor, propose, recovery = "internal/chain/acceptor.go", "internal/chain/propose.go", "internal/chain/recovery.go"
	return []mistake{
		{"acceptor: a promise is forgotten at a restart", recovery,
			"\tn.acceptor.promisedBallot = ballotFromWire(stored.Ballot)\n", "", chainTests},
		{"acceptor: an accepted view is forgotten at a restart", recovery,
			"\tn.acceptor.acceptedBallot = acceptedBallot\n", "", chainTests},
		{"acceptor: a rewrite of the log drops the promise", "internal/chain/records.go",
			"\tif !n.acceptor.promisedBallot.isZero() {", "\tif false {", chainTests},
		{"acceptor: a rewrite of the log drops the accepted view", "internal/chain/records.go",
			"\tif !n.acceptor.acceptedBallot.isZero() {", "\tif false {", chainTests},
		{"acceptor: a vote is told before it is on disk", acceptor,
			"\tn.sendAfterSync(sender, message, record)\n", "\tn.persist(effect{}, record)\n\tn.send(sender, message)\n", chainTests},
		{"acceptor: a lower ballot gets a promise", acceptor,
			"\tif requested.less(n.acceptor.promisedBallot) {\n\t\tpromise.Refused", "\tif false {\n\t\tpromise.Refused", chainTests},
		{"acceptor: a lower ballot is accepted", acceptor,
			"\tif requested.less(n.acceptor.promisedBallot) {\n\t\treturn\n", "\tif false {\n\t\treturn\n", chainTests},
		{"proposer: a view that may be decided is passed over", propose,
			"n.highestAcceptedView(); found {", "n.highestAcceptedView(); found && false {", chainTests},
		{"proposer: of two accepted views the older one is taken", propose,
			"highest.less(accepted) {", "(highest.isZero() || accepted.less(highest)) {", chainTests},
		{"proposer: half of the voters decide", "internal/chain/attempt.go",
			"len(n.electorate())/2 + 1", "len(n.electorate()) / 2", chainTests},
		{"proposer: the member with the shortest log is made head", propose,
			"cmp.Compare(promise.Position, newest.Position),", "cmp.Compare(newest.Position, promise.Position),", chainTests},
		{"proposer: the longest log goes before the newest epoch", propose,
			"\t\t\t\tcmp.Compare(promise.Installed, newest.Installed),\n", "", chainTests},
		{"proposer: a member whose disk stalls is made head", propose,
			"\t\t\t\tcompareBools(newest.Impaired, promise.Impaired),\n", "", chainTests},
		{"proposer: one that membership holds for gone is made a member", propose,
			"\t\tcompareBools(a.down, b.down),\n", "", chainTests},
		{"proposer: one that membership holds for gone is made head", propose,
			"\t\t\t\tcompareBools(n.isDown(head.Identity), n.isDown(voter.Identity)),\n", "", chainTests},
		{"proposer: one that membership holds for gone is supported", acceptor,
			"\tif n.isDown(sender) {", "\tif false {", chainTests},
		{"proposer: one that membership holds for gone is never supported", acceptor,
			"return n.now.Sub(n.confirmedAt) >= unconfirmedBeforeDownSupport", "return false", chainTests},
	}
}

// chainMistakes are made in replication along the chain.
func chainMistakes() []mistake {
	const clients, install, replicate = "internal/chain/clients.go", "internal/chain/install.go", "internal/chain/replicate.go"
	return []mistake{
		{"chain: an old epoch goes on", install,
			"return !n.acceptor.promisedBallot.isZero() && !n.injectedFaults.ignoreEpochEnd", "n.injectedFaults.ignoreEpochEnd = true; return false", chainTests},
		{"chain: an epoch counts as installed before it is on disk", install,
			"\tn.installedEpoch = stored.Epoch\n\tn.generation++\n",
			"\tn.installedEpoch, n.durableInstalledEpoch = stored.Epoch, stored.Epoch\n\tn.generation++\n", chainTests},
		{"chain: the tail commits what is not on disk", replicate,
			"\tfirst := n.log.committed + 1\n", "\tn.syncedPosition = n.log.lastPosition()\n\tfirst := n.log.committed + 1\n", chainTests},
		{"chain: entries are passed on before they are on disk", replicate,
			"\tif !n.successorReady || n.forwardedPosition >= n.syncedPosition {\n",
			"\tn.syncedPosition = n.log.lastPosition()\n\tif !n.successorReady || n.forwardedPosition >= n.syncedPosition {\n", chainTests},
		{"chain: the end of an old write counts for a new log", "internal/chain/journal.go",
			"completed.generation == n.generation && completed.position", "completed.position", chainTests},
		{"chain: a refusal is answered before what it was decided on is committed", "internal/chain/barrier.go",
			"\t\tif barrier.Position > n.log.committed {", "\t\tif false {", chainTests},
		{"reads: the head answers by itself", clients,
			"if submit.Read && n.injectedFaults.serveUnconfirmedReads {", "if submit.Read {", chainTests},
		{"reads: answered before the position is committed here", clients,
			"if pending.positionKnown && pending.readPosition <= n.log.committed {", "if pending.positionKnown {", chainTests},
		{"request ids: an answer to an earlier life is taken", clients,
			" || answer.Session != n.session ||", " ||", chainTests},
		{"request ids: a refusal to an earlier life is taken", clients,
			"if found && refused.Session == n.session {", "if found {", chainTests},
		{"request ids: a command that comes twice is taken twice", clients,
			"accepted && !submit.Read {", "accepted && false {", chainTests},
		{"requests: a command without an answer is sent again after a change of view", clients,
			"\t\tif pending.read && !pending.positionKnown {", "\t\tif !pending.positionKnown {", chainTests},
		{"identity: messages for the store that was here before are taken", "internal/chain/dispatch.go",
			"if message.To != \"\" && Identity(message.To) != n.self.Identity {", "if false {", chainTests},
		{"log: a rewrite drops what is not committed", "internal/chain/records.go",
			"n.log.entriesBetween(n.log.committed, n.log.lastPosition())", "nil", chainTests},
		{"log: a snapshot goes back behind what is committed", "internal/chain/recovery.go",
			"\tif snapshot.Position < n.log.committed {", "\tif false {", chainTests},
	}
}

// followerMistakes are made in catch-up and in the replacement of voters.
func followerMistakes() []mistake {
	const feed, voters = "internal/chain/feed.go", "internal/chain/voters.go"
	const heartbeat, question = "internal/chain/heartbeat.go", "internal/chain/probe.go"
	return []mistake{
		{"catch-up: a word of the tail that nobody asked for confirms", feed,
			"\tn.confirmProbe(message.Token)\n", "\tn.confirmedAt, n.confirmedEpoch = n.now, epoch\n", chainTests},
		{"questions: an answer confirms for the time at which it comes", question,
			"n.confirmedAt, n.confirmedEpoch = at, n.view.Epoch", "n.confirmedAt, n.confirmedEpoch = n.now, n.view.Epoch", chainTests},
		{"questions: one that passes twice counts from the second time", question,
			"; sent.number != number {", "; true {", chainTests},
		{"questions: numbers begin anew with each life", "internal/chain/node.go",
			"probes{lastNumber: options.Random.Uint64() >> 1}", "probes{}", chainTests},
		{"heartbeats: the tail confirms before they have come back", heartbeat,
			"\t\tn.probes.record(heartbeat.Number, n.now)\n",
			"\t\tn.probes.record(heartbeat.Number, n.now)\n\t\tif n.isTail() {\n\t\t\tn.confirmProbe(heartbeat.Number)\n\t\t}\n", chainTests},
		{"catch-up: a feed is taken without looking at what comes before it", feed,
			"\tif !n.logMatches(message.PreviousEpoch, message.PreviousPosition) {", "\tif false {", chainTests},
		{"catch-up: a snapshot is installed without being written", feed,
			"\tn.persist(effect{position: snapshot.Position, generation: n.generation}, encodeRecord(RecordSnapshot, snapshot))\n", "", chainTests},
		{"catch-up: a tail that has not installed its epoch feeds", feed,
			" && n.canServe() && n.durableInstalledEpoch == n.view.Epoch", "", chainTests},
		{"replacement: the old voter stays", voters,
			"voterChange{add: learner.member, remove: voter.Identity}", "voterChange{add: learner.member}", chainTests},
		{"replacement: an odd electorate shrinks", voters,
			"needed := 1 + len(n.view.Voters)%2", "needed := 1", chainTests},
		{"replacement: two dead ones of an odd number stay", voters,
			"\tneeded := 1 + len(n.view.Voters)%2\n", "\tneeded := 1 + len(n.view.Voters)%2*len(n.view.Voters)\n", chainTests},
		{"proposer: any promise stands for that of one to be counted on", "internal/chain/attempt.go",
			"\t\tif expected && n.attempt.promises[electorKey(n.attempt.instance, member)] == nil {",
			"\t\tif expected && len(n.attempt.promises) < n.quorum() {", chainTests},
		{"support: who promised supports a process that is gone", "internal/chain/acceptor.go",
			"\tif n.isDown(sender) {", "\tif n.isDown(sender) && !n.hasPromised() {", chainTests},
		{"heartbeats: the first of an epoch waits its interval", "internal/chain/replicate.go",
			"\t\tn.sendHeartbeat() // earlier", "\t\t// earlier", chainTests},
		{"catch-up: questions at hand wait until they are asked again", heartbeat,
			"\tif firstOfEpoch && n.isTail() {", "\tif false && firstOfEpoch {", chainTests},
		{"replacement: two voters in one view", "internal/chain/propose.go",
			"\tif n.injectedFaults.replaceSeveralVoters {", "\tif true {", chainTests},
		{"replacement: a learner never counts as caught up under many changes", voters,
			"return position >= checkpoint.position", "return false", chainTests},
		{"replacement: a learner always counts as caught up", voters,
			"\tif position+maxLearnerLag >= n.log.committed {", "\tif true {", chainTests},
	}
}

func logMistakes() []mistake {
	const file, rewrite, scan = "internal/logfile/file.go", "internal/logfile/rewrite.go", "internal/logfile/scan.go"
	return []mistake{
		{"disk: an append is not synced", file, "\treturn f.file.Sync()\n", "\treturn nil\n", logTests},
		{"disk: a rewritten file takes its name without having been synced", rewrite,
			"\tif err := file.Sync(); err != nil {", "\tif err := error(nil); err != nil {", logTests},
		{"disk: the folder is not synced after a rewrite", rewrite,
			"f.failed = f.system.SyncFolder(f.directory)", "f.failed = nil", logTests},
		{"disk: the folder of a created file is not synced", file,
			"return trace.ConvertSystemError(f.system.SyncFolder(f.directory))", "return nil", logTests},
		{"disk: what a start reads is not synced", file,
			"\t// The previous process may not have synced the data just read, or the name of the file.\n\tif err := file.Sync(); err != nil {",
			"\tif err := error(nil); err != nil {", logTests},
		{"disk: the folder is not synced at a start", file,
			"\tif err := f.system.SyncFolder(f.directory); err != nil {", "\tif err := error(nil); err != nil {", logTests},
		{"disk: the folder of a discarded file is not synced", file,
			"return trace.ConvertSystemError(system.SyncFolder(directory))", "return nil", logTests},
		{"disk: a file goes on after a failed sync", file,
			"\t\tf.failed = err\n", "", logTests},
		{"disk: damage before whole batches is cut like a torn tail", scan,
			"mustBeComplete || containsRecordSince(rest, result.nextBatch+1)", "mustBeComplete", logTests},
	}
}

func configMistakes() []mistake {
	const apply, code = "internal/config/apply.go", "internal/config/state_encoding.go"
	return []mistake{
		{"orders: a taken order is forgotten", apply, "\tnext.acceptedDigests = appendDigest(s.acceptedDigests, sum)\n", "\t_ = appendDigest\n", configTests},
		{"orders: the memory of taken orders is not in the snapshot", code,
			"\t\tmessage.Taken = append(message.Taken, s.acceptedDigests[index][:])\n", "\t\t_ = index\n", configTests},
		{"orders: the memory is one order short", apply,
			"len(digests)+1-maxRememberedOrders", "len(digests)+2-maxRememberedOrders", configTests},
		{"orders: the version that an order builds on is not looked at", apply,
			"if order.Match != s.generation {", "if false {", configTests},
		{"fencing: a late order about a zone is taken", apply, "order.KnownChanges >= lastChange {", "true {", configTests},
		{"fencing: an order without effect leaves no record", apply,
			"\tnext.confirmed[index].Revision = next.changes\n", "", configTests},
		{"fencing: a snapshot forgets an order without effect", code,
			"\t\tmessage.Confirmed = append(message.Confirmed,", "\t\t_ = append(message.Confirmed,", configTests},
		{"fencing: a snapshot forgets when a zone was evacuated", code,
			"\t\tmessage.EvacuatedAt = append(message.EvacuatedAt, evacuation.Revision)\n", "", configTests},
		{"orders: two orders on other versions are taken for one", "internal/config/order.go",
			"\tbinary.BigEndian.PutUint64(header[2:], o.Match)\n", "\t_ = binary.BigEndian\n", configTests},
		{"orders: a version that is not higher is taken", apply, "generation <= s.generation {", "generation < s.generation {", configTests},
	}
}

func feedMistakes() []mistake {
	const subscriber, apply, source = "internal/distribution/subscriber.go", "internal/distribution/apply.go", "internal/distribution/source.go"
	return []mistake{
		{"feed: an older configuration replaces a newer one", apply,
			"update.GetRevision() <= s.config.Revision {", "update.GetRevision() == s.config.Revision {", feedTests},
		{"feed: a patched document is not compared with its hash", apply,
			"\tif DocumentHash(document) != update.GetDocumentHash() {", "\tif false {", feedTests},
		{"feed: a patch is applied to another document than its base", apply,
			"\t\tif step.GetBase() != revision {", "\t\tif false {", feedTests},
		{"feed: a source that is not in touch passes for fresh", subscriber,
			"source.fresh && source.positionKnown &&", "source.positionKnown &&", feedTests},
		{"feed: a relay stays with a source that is not in touch", "internal/distribution/source_selection.go",
			"src == nil || !src.fresh ||", "src == nil ||", feedTests},
		{"feed: an instance that is gone for good comes back", apply,
			"\tif known.Final() {\n\t\treturn\n\t}\n\tprevious", "\tif known.Final() {\n\t\tknown.Reported = received.Reported\n\t}\n\tprevious", feedTests},
		{"feed: a draining instance is ready again", apply,
			"registry.FurthestState(reported, received.Reported)", "received.Reported\n\t_ = reported", feedTests},
		{"feed: a new life of the source passes for the old one", source,
			"\t\t\tsender.positionKnown = false\n", "", feedTests},
		{"feed: a subscriber of an earlier life is resumed", "internal/distribution/answer.go",
			"request.GetSource() == p.life && ", "", feedTests},
		{"fencing: an older home is followed", subscriber, "return token < s.tokenSeen", "return false", feedTests},
		{"digests: a gap that a digest shows is not asked about", subscriber,
			" || digest.GetSequence() > sender.sequence || digest.GetRevision() > s.config.Revision {", " {", feedTests},
	}
}

func registryMistakes() []mistake {
	const replicate = "internal/registry/replicate.go"
	return []mistake{
		{"departure: one other process is enough", replicate, "copies <= len(t.electorate)/2", "copies < 2", registryTests},
		{"departure: an acknowledgement to an earlier life counts", replicate,
			" || acknowledgement.GetLife() != t.options.RunID {", " {", registryTests},
		{"departure: what a process held before its restart counts", replicate, "replicated.runID == other.runID && ", "", registryTests},
		{"departure: a lost process counts", replicate, "other == nil || !other.reachable || ", "other == nil || ", registryTests},
		{"heartbeats: a late one wins", "internal/registry/receive.go", "if exists && heartbeat.Seq < known.Seq {", "if false {", registryTests},
		{"heartbeats: instances expire while out of touch", "internal/registry/tick.go",
			"if !t.majorityReachable || now.Sub", "if now.Sub", registryTests},
		{"heartbeats: a draining instance is ready again", "internal/registry/merge.go",
			"known.Reported = FurthestState(known.Reported, incoming.Reported)", "known.Reported = incoming.Reported", registryTests},
		{"departures: one that is not on disk counts here", "internal/registry/replicate.go",
			"\t\t\tif selfHolds {\n\t\t\t\tcopies++\n\t\t\t}\n", "\t\t\tcopies++\n", registryTests},
		{"departures: one that is not on disk is acknowledged", "internal/registry/departures.go",
			"\tif !t.allSaved(held.instanceIDs) {\n\t\tkey", "\tif false {\n\t\tkey", registryTests},
		{"departures: a process that starts is not told of them", "internal/registry/departures.go",
			"greetingsPerRun = 3", "greetingsPerRun = 0", registryTests},
		{"departures: a process that starts does not load them", "internal/control/build.go",
			"\tp.restoreDepartures(now, store.departures)\n", "", controlTests},
		{"instances: a draining one becomes silent", "internal/registry/instance.go",
			"\tif i.Departing() {\n\t\treturn i.Reported\n\t}\n", "", registryTests},
		{"instances: a late heartbeat hides that one drains", "internal/registry/receive.go",
			"t.change(known, t.advanceReported(known, heartbeat.State))\n\t}\n\tbefore", "t.change(known, false)\n\t}\n\tbefore", registryTests},
		{"instances: a draining one is a last resort", "internal/selector/endpoint.go",
			" || instance.Departing():", ":", []string{"./internal/selector"}},
		{"digests: differing tables are not compared", "internal/registry/merge.go",
			"\tanswer.Buckets = slices.Clone(t.buckets[:])\n", "\t_ = slices.Clone[[]int]\n", registryTests},
	}
}

func proxyMistakes() []mistake {
	const exchange = "internal/upstream/exchange.go"
	return []mistake{
		{"requests: a later try forgets that an earlier one may have run", "internal/proxy/attempt.go",
			"e.mayHaveRun = e.mayHaveRun || outcome.MayHaveRun", "e.mayHaveRun = outcome.MayHaveRun", proxyTests},
		{"requests: an answer to another request is taken", exchange, "if id == request.ID {", "if id != \"\" {", proxyTests},
		{"requests: isolated relays send as if they were not", "internal/selector/isolation.go",
			"\tif s.isolatedRelays == 0 ||", "\tif s.isolatedRelays >= 0 ||", []string{"./internal/selector"}},
		{"directory: a new one takes relays that stop for lost", "internal/directory/history.go",
			"\tif !known {\n", "\tif !known {\n\t\treturn\n", []string{"./internal/directory"}},
		{"requests: one is sent again on a connection that carried it before", "internal/upstream/request.go",
			"(c.lastRequestID == r.ID || slices.Contains(r.sentOn, c.number))", "(c.lastRequestID == r.ID || slices.Contains(r.sentOn, 0))", proxyTests},
		{"answers: an orderly end of one without a length is taken for a broken connection", "internal/upstream/response.go",
			"\tif err == io.EOF { //", "\tif err == io.EOF && r.selfDelimited { //", proxyTests},
		{"answers: a stream without a length that ends within an event is whole", "internal/proxy/stream.go",
			"len(s.data) > 0 && !s.response.SelfDelimited()", "len(s.data) < 0 && !s.response.SelfDelimited()", proxyTests},
		{"limits: an open connection keeps the limit on request heads", "internal/proxy/headlimit.go",
			"h.readBytes > h.maxBytes.Load()+headReadAhead", "h.readBytes > defaultHeaderBytes+headReadAhead", proxyTests},
		{"limits: an open connection keeps its timeouts", "internal/proxy/applylimits.go",
			"\tprevious.superseded.Store(true)\n", "\tprevious.superseded.Store(false)\n", proxyTests},
		{"requests: one that was partly sent is sent again", exchange, "if n == 0 && kind != Canceled {", "if kind != Canceled {", proxyTests},
		{"requests: one that got no answer is sent again", exchange, "if failure.Kind == NotSent && reused", "if reused", proxyTests},
		{"requests: nothing sent counts as run", "internal/upstream/errors.go", "bool { return e.Sent }", "bool { return false }", proxyTests},
	}
}

func controlMistakes() []mistake {
	const process = "internal/control/process.go"
	return []mistake{
		{"seeds: a process that starts again does not look for the voters", process,
			"\t\tif !slices.Contains(addresses, voter.Address) {", "\t\tif false {", controlTests},
		{"control: an order is started though its caller has disconnected", "internal/httpapi/caller.go",
			"return c != nil && socket.Look(c.raw) == socket.Closed", "return c != nil && socket.Look(c.raw) == socket.Unknown", controlTests},
		{"fencing: an order delayed in the network is dated when it is handled", "internal/control/zone_orders.go",
			"\treturn date.latest.Load()\n", "\treturn p.knownChanges.now()\n", controlTests},
		{"fencing: a pipelined order is dated by the answer before it", "internal/control/zone_orders.go",
			"\t\treturn date.atAccept\n", "\t\treturn date.latest.Load()\n", controlTests},
		{"fencing: an order makes the next one on its connection stale", "internal/control/api.go",
			"\tadvanceDate(r, answer.Reply.Revision)\n", "", controlTests},
		{"fencing: a process does not learn of changes from answers", "internal/control/api.go",
			"\tp.knownChanges.learn(answer.Reply.Revision) //", "\tp.knownChanges.learn(0) //", controlTests},
		{"fencing: a connection that waited during a pause is dated by its acceptance", "internal/control/known_changes.go",
			"\t\treturn k.beforePause\n", "\t\treturn k.current\n", controlTests},
		{"control: the feed says fresh while out of touch", process, "\tp.feed.SetFresh(fresh)\n", "\tp.feed.SetFresh(true)\n", controlTests},
		{"control: a ready endpoint is acknowledged by a process that is cut off", "internal/control/heartbeats.go",
			"\tg.refusals[instance] = now\n\treturn true\n", "\tg.refusals[instance] = now\n\treturn false\n", controlTests},
		{"control: an endpoint that finds no other process is never acknowledged", "internal/control/heartbeats.go",
			"\tif refused && since >= minReturnDelay", "\tif refused && since >= minReturnDelay && g.hasQuorum", controlTests},
		{"control: instances expire while out of touch", process,
			"\tp.instances.SetMajorityReachable(now, fresh)\n", "\tp.instances.SetMajorityReachable(now, true)\n", controlTests},
		{"control: a discarded store founds a system", "internal/control/build.go",
			"cfg.Bootstrap && !store.discarded", "cfg.Bootstrap", controlTests},
		{"control: a departure is acknowledged without waiting", "internal/control/instances.go",
			"if replicated != nil && !awaitReplication(replicated, replicationTimeout) {",
			"if replicated != nil && !awaitReplication(replicated, 0) && id == 0 {", controlTests},
		{"control: damage of the store ends the process", "internal/control/store.go",
			"\tif errors.As(err, &damage) {", "\tif errors.As(err, &damage) && log == nil {", controlTests},
	}
}
