package relay

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

const (
	// minCompressedRecords is the number of records from which on compression saves bytes.
	minCompressedRecords = 8
	// maxRecordsPerMessage keeps a message below about 400 KB before compression.
	maxRecordsPerMessage = 4096
	// maxFullSyncRecords is the number of records up to which a comparison sends the whole table instead of 2 KB of
	// bucket digests.
	maxFullSyncRecords = 32
)

// formerChild is a child whose link has ended. It is published as suspect unless it announces another parent in time.
type formerChild struct {
	incarnation  uint64
	lastReceived time.Time
}

// receivedCrash is a crash report with the time of its receipt, from which on its age grows.
type receivedCrash struct {
	report     CrashReport
	receivedAt time.Time
}

// crashKey identifies a crash report.
type crashKey struct {
	upstream              string
	incarnation, sequence uint64
}

// propagation is the state of the distribution of endpoint records and crash reports.
type propagation struct {
	table *endpoints.Table
	own   endpoints.Record // the record of this node's own upstream
	// unsent holds the IDs of the changed records that are to be forwarded, each with the link on which the change
	// arrived; 0 if this peer made the change.
	unsent         map[string]LinkID
	formerChildren map[string]formerChild // by node ID
	nextOrphanScan time.Time
	// crashes lists the known reports in the order of their receipt; knownCrashes holds their keys.
	crashes      []receivedCrash
	knownCrashes map[crashKey]bool
}

func newPropagation(now time.Time, c Config) propagation {
	return propagation{
		table:          endpoints.NewTable(now, c.MaxRecords),
		own:            endpoints.Record{ID: c.ID, Incarnation: c.Incarnation, Zone: c.Zone},
		unsent:         make(map[string]LinkID),
		formerChildren: make(map[string]formerChild),
		knownCrashes:   make(map[crashKey]bool),
	}
}

// Announce publishes the record of the node's own upstream. The peer sets ID, incarnation, zone and parent itself, and
// the sequence unless the given one is greater than the next one. It does nothing in a member.
func (p *Peer) Announce(now time.Time, r endpoints.Record) {
	p.advance(now)
	if p.config.Member {
		return
	}
	own := p.propagation.own
	r.ID, r.Incarnation, r.Zone, r.Parent = own.ID, own.Incarnation, own.Zone, own.Parent
	r.Sequence = max(own.Sequence+1, r.Sequence)
	p.publishOwn(r)
}

func (p *Peer) publishOwn(r endpoints.Record) {
	p.propagation.own = r
	p.merge([]endpoints.Record{r}, 0)
}

// merge adds records to the table, marks the changed ones to be forwarded, and returns them.
func (p *Peer) merge(records []endpoints.Record, from LinkID) []endpoints.Record {
	changed := p.propagation.table.Merge(records)
	for _, r := range changed {
		p.propagation.unsent[r.ID] = from
	}
	return changed
}

// announceParent publishes that this node has a new parent, so that the former one does not suspect it. The new parent
// gets the record before the first poll, so that tables that are otherwise equal need no comparison.
func (p *Peer) announceParent(l *link) {
	own := p.propagation.own
	own.Parent = l.remote.ID
	own.Sequence++
	p.publishOwn(own)
	p.propagation.unsent[own.ID] = l.id
	p.send(l, Message{Endpoints: &Endpoints{Records: []endpoints.Record{own}}})
}

// reannounceIfRemoved publishes the node's own record again if it was removed from the table here.
func (p *Peer) reannounceIfRemoved(removed []endpoints.Record) {
	for _, r := range removed {
		if r.ID == p.config.ID && !p.config.Member {
			p.refute(r)
		}
	}
}

// refute publishes a newer version of the node's own record after a record about this node arrived that the node did
// not publish, such as a suspicion. A record of a greater incarnation cannot be refuted.
func (p *Peer) refute(r endpoints.Record) {
	own := p.propagation.own
	if r.Incarnation > own.Incarnation {
		p.stats.Superseded++
	}
	if r.Incarnation != own.Incarnation || r.Compare(own) <= 0 {
		return
	}
	p.stats.Refuted++
	own.Sequence = r.Sequence + 1
	p.publishOwn(own)
}

// receiveRecords merges the records of a message and replies with what the sender lacks.
func (p *Peer) receiveRecords(l *link, e Endpoints) {
	records := e.Records
	if len(e.Compressed) > 0 {
		var packed []endpoints.Record
		if err := unpack(e.Compressed, &packed); err != nil {
			p.stats.CorruptMessages++
			return
		}
		records = append(records, packed...)
	}
	for _, r := range p.merge(records, l.id) {
		if r.ID == p.config.ID {
			p.refute(r)
		}
	}
	p.sendTombstones(l, records)
	if len(e.Buckets) > 0 {
		p.sendNewerRecords(l, records, e.Buckets)
	}
}

// sendTombstones replies to outdated records that were removed here with their last versions, so that the sender
// removes them too, or their nodes refute them.
func (p *Peer) sendTombstones(l *link, records []endpoints.Record) {
	var tombstones []endpoints.Record
	for _, r := range records {
		if removed, ok := p.propagation.table.Tombstone(r.ID); ok && r.Compare(removed) < 0 {
			tombstones = append(tombstones, removed)
		}
	}
	p.sendRecords(l, tombstones, nil)
}

// sendNewerRecords sends the records of the compared buckets that the other side lacks or of which it has an older
// version.
func (p *Peer) sendNewerRecords(l *link, received []endpoints.Record, buckets []uint8) {
	senderRecords := make(map[string]endpoints.Record, len(received))
	for _, r := range received {
		senderRecords[r.ID] = r
	}
	var selected [endpoints.BucketCount]bool
	for _, b := range buckets {
		selected[b] = true
	}
	var newer []endpoints.Record
	for _, r := range p.propagation.table.InBuckets(&selected) {
		if other, ok := senderRecords[r.ID]; !ok || r.Compare(other) > 0 {
			newer = append(newer, r)
		}
	}
	p.sendRecords(l, newer, nil)
}

// sendRecords sends records in messages of bounded size. The buckets are sent only if all records fit into one message.
func (p *Peer) sendRecords(l *link, records []endpoints.Record, buckets []uint8) {
	if len(records) == 0 && len(buckets) == 0 {
		return
	}
	for len(records) > maxRecordsPerMessage {
		p.sendChunk(l, records[:maxRecordsPerMessage], nil)
		records = records[maxRecordsPerMessage:]
		buckets = nil
	}
	p.sendChunk(l, records, buckets)
}

func (p *Peer) sendChunk(l *link, records []endpoints.Record, buckets []uint8) {
	message := &Endpoints{Records: records, Buckets: buckets}
	if len(records) >= minCompressedRecords {
		if packed, err := pack(records); err == nil {
			message.Records, message.Compressed = nil, packed
		}
	}
	p.send(l, Message{Endpoints: message})
}

// flushRecords forwards the changed records to the parent, the children and the other members, but not on the link on
// which they arrived. All members are linked with each other, so a record from one member is not forwarded to another.
func (p *Peer) flushRecords() {
	s := &p.propagation
	if len(s.unsent) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(s.unsent))
	for _, l := range p.linksOf(roleParent, roleChild, roleMember) {
		if l.synced || l.outbound {
			p.sendRecords(l, p.unsentFor(l, ids), nil)
		}
	}
	clear(s.unsent)
	p.emit(EndpointsChanged{IDs: ids})
}

// unsentFor returns the changed records that are to be sent on a link.
func (p *Peer) unsentFor(l *link, ids []string) []endpoints.Record {
	var records []endpoints.Record
	for _, id := range ids {
		from := p.propagation.unsent[id]
		source, ok := p.links[from]
		fromMember := ok && source.role == roleMember
		if from == l.id || fromMember && l.role == roleMember {
			continue
		}
		if r, ok := p.propagation.table.Get(id); ok {
			records = append(records, r)
		}
	}
	return records
}

// syncLink sends the bundles, crash reports and endpoint records that the other side of a new link lacks.
func (p *Peer) syncLink(l *link, digest uint64) {
	if l.role == roleChild {
		p.offer(l)
	}
	p.sendCrashes(l)
	if digest == p.propagation.table.Digest() {
		return
	}
	if l.role == roleChild && l.joinRecords <= 1 {
		p.sendRecords(l, p.propagation.table.All(), nil)
		return
	}
	p.startComparison(l)
}

// compareDigest starts a comparison of the tables after several polls in a row with another digest than the own
// table's. Single differences are normal while changes are on their way.
func (p *Peer) compareDigest(l *link, digest uint64) {
	if digest == p.propagation.table.Digest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches >= mismatchesBeforeCompare && p.now.Sub(l.comparedAt) >= minCompareInterval {
		p.startComparison(l)
	}
}

// startComparison sends the bucket digests of the table, or a small table as a whole.
func (p *Peer) startComparison(l *link) {
	l.digestMismatches = 0
	l.comparedAt = p.now
	p.stats.Comparisons++
	table := p.propagation.table
	if table.Len() <= maxFullSyncRecords {
		p.sendRecords(l, table.All(), allBuckets())
		return
	}
	digests := table.BucketDigests()
	data := make([]byte, 0, 8*len(digests))
	for _, digest := range digests {
		data = binary.LittleEndian.AppendUint64(data, digest)
	}
	p.send(l, Message{Compare: &Compare{BucketDigests: data}})
}

func allBuckets() []uint8 {
	buckets := make([]uint8, endpoints.BucketCount)
	for i := range buckets {
		buckets[i] = uint8(i)
	}
	return buckets
}

// handleCompare replies to bucket digests with the records of the buckets that differ.
func (p *Peer) handleCompare(l *link, c Compare) {
	if len(c.BucketDigests) != 8*endpoints.BucketCount {
		p.stats.CorruptMessages++
		return
	}
	digests := make([]uint64, endpoints.BucketCount)
	for i := range digests {
		digests[i] = binary.LittleEndian.Uint64(c.BucketDigests[8*i:])
	}
	differing, _ := p.propagation.table.DifferingBuckets(digests)
	var buckets []uint8
	for i, differs := range differing {
		if differs {
			buckets = append(buckets, uint8(i))
		}
	}
	if len(buckets) > 0 {
		p.sendRecords(l, p.propagation.table.InBuckets(&differing), buckets)
	}
}

// addFormerChild remembers a child whose link has ended, so that it is suspected if it does not find another parent.
func (p *Peer) addFormerChild(l *link) {
	p.propagation.formerChildren[l.remote.ID] = formerChild{incarnation: l.remote.Incarnation, lastReceived: l.lastReceived}
}

// suspectFormerChildren publishes the former children as suspect that sent nothing for endpoints.SuspectAfter and have
// not announced another parent.
func (p *Peer) suspectFormerChildren() {
	s := &p.propagation
	for _, id := range slices.Sorted(maps.Keys(s.formerChildren)) {
		child := s.formerChildren[id]
		if p.now.Sub(child.lastReceived) < endpoints.SuspectAfter {
			continue
		}
		delete(s.formerChildren, id)
		r, ok := s.table.Get(id)
		if ok && r.Incarnation == child.incarnation && r.Parent == p.config.ID {
			p.suspect(id)
		}
	}
}

// suspect publishes a node as suspect.
func (p *Peer) suspect(id string) {
	if suspicion, ok := p.propagation.table.SuspectRecord(id); ok {
		p.stats.Suspected++
		p.merge([]endpoints.Record{suspicion}, 0)
	}
}

// PublishCrashes distributes crash reports that were made by this process.
func (p *Peer) PublishCrashes(now time.Time, reports []CrashReport) {
	p.advance(now)
	p.forwardCrashes(p.addCrashes(reports), nil)
}

func (p *Peer) receiveCrashes(l *link, reports []CrashReport) {
	added := p.addCrashes(reports)
	if len(added) == 0 {
		return
	}
	p.emit(CrashesReceived{Reports: added})
	p.forwardCrashes(added, l)
}

// addCrashes stores the reports that are not known and not too old, and returns them.
func (p *Peer) addCrashes(reports []CrashReport) []CrashReport {
	s := &p.propagation
	p.expireCrashes()
	var added []CrashReport
	for _, r := range reports {
		key := crashKeyOf(r)
		if s.knownCrashes[key] || r.AgeMs < 0 || r.AgeMs >= crashLifetime.Milliseconds() {
			continue
		}
		if len(s.crashes) >= maxCrashReports {
			p.dropOldestCrash()
		}
		s.knownCrashes[key] = true
		s.crashes = append(s.crashes, receivedCrash{report: r, receivedAt: p.now})
		added = append(added, r)
	}
	return added
}

func crashKeyOf(r CrashReport) crashKey {
	return crashKey{upstream: r.Upstream, incarnation: r.Incarnation, sequence: r.Sequence}
}

func (p *Peer) dropOldestCrash() {
	s := &p.propagation
	delete(s.knownCrashes, crashKeyOf(s.crashes[0].report))
	s.crashes = s.crashes[1:]
}

func (p *Peer) expireCrashes() {
	s := &p.propagation
	for len(s.crashes) > 0 && p.now.Sub(s.crashes[0].receivedAt) >= crashLifetime {
		p.dropOldestCrash()
	}
}

// forwardCrashes sends reports on all links but that on which they arrived, and not from one member to another.
func (p *Peer) forwardCrashes(reports []CrashReport, from *link) {
	if len(reports) == 0 {
		return
	}
	for _, l := range p.linksOf(roleParent, roleChild, roleMember) {
		alreadyKnown := l == from || from != nil && from.role == roleMember && l.role == roleMember
		if !alreadyKnown && (l.synced || l.outbound) {
			p.send(l, Message{Crashes: &Crashes{Reports: reports}})
		}
	}
}

// sendCrashes sends all known reports with their present ages.
func (p *Peer) sendCrashes(l *link) {
	p.expireCrashes()
	var reports []CrashReport
	for _, c := range p.propagation.crashes {
		r := c.report
		r.AgeMs += p.now.Sub(c.receivedAt).Milliseconds()
		if r.AgeMs < crashLifetime.Milliseconds() {
			reports = append(reports, r)
		}
	}
	if len(reports) > 0 {
		p.send(l, Message{Crashes: &Crashes{Reports: reports}})
	}
}
