package relay

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// Bounds of one message of records.
const (
	// minCompressedRecords is the number of records from which on compression saves bytes.
	minCompressedRecords = 8
	// maxRecordsPerMessage keeps a message below about 400 KB before compression.
	maxRecordsPerMessage = 4096
	// maxUnbucketedRecords is the size up to which the whole table is sent instead of 2 KB of bucket digests.
	maxUnbucketedRecords = 32
)

// formerChild is a former child that is to be published as suspect unless it announces itself again.
type formerChild struct {
	incarnation  uint64
	lastReceived time.Time
}

// receivedCrash is a known receivedCrash report.
type receivedCrash struct {
	report     CrashReport
	receivedAt time.Time // receipt
}

type crashKey struct {
	upstream              string
	incarnation, sequence uint64
}

// propagation is the state of the distribution of endpoint records and crash reports.
type propagation struct {
	table *endpoints.Table
	own   endpoints.Record
	// unsent holds the records to be passed on, with the link that they came from; 0 for records from here.
	unsent         map[string]LinkID
	formerChildren map[string]formerChild
	nextOrphanScan time.Time
	crashes        []receivedCrash
	knownCrashes   map[crashKey]bool
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

// Announce publishes the node's own endpoint. The peer sets ID, incarnation, sequence, zone and parent itself.
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

// merge adds records to the table and marks the changed ones to be passed on.
func (p *Peer) merge(records []endpoints.Record, from LinkID) []endpoints.Record {
	changed := p.propagation.table.Merge(records)
	for _, r := range changed {
		p.propagation.unsent[r.ID] = from
	}
	return changed
}

// announceParent publishes that this node follows another parent, so that the former one does not suspect it. The
// parent gets the record before the first poll, so that a table that is equal otherwise needs no comparison.
func (p *Peer) announceParent(l *link) {
	own := p.propagation.own
	own.Parent = l.remote.ID
	own.Sequence++
	p.publishOwn(own)
	p.propagation.unsent[own.ID] = l.id
	p.send(l, Message{Endpoints: &Endpoints{Records: []endpoints.Record{own}}})
}

// reannounceIfRemoved brings the own record back if it was dropped as suspect here.
func (p *Peer) reannounceIfRemoved(removed []endpoints.Record) {
	for _, r := range removed {
		if r.ID == p.config.ID && !p.config.Member {
			p.refute(r)
		}
	}
}

// refute answers a record about this node that the node did not publish.
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

// sendTombstones returns the last version of records that were dropped here, so that the sender drops them too, or their
// node refutes it.
func (p *Peer) sendTombstones(l *link, records []endpoints.Record) {
	var late []endpoints.Record
	for _, r := range records {
		if stone, ok := p.propagation.table.Tombstone(r.ID); ok && r.Compare(stone) < 0 {
			late = append(late, stone)
		}
	}
	p.sendRecords(l, late, nil)
}

// sendNewerRecords returns the records of the compared buckets that the sender lacks or has older.
func (p *Peer) sendNewerRecords(l *link, received []endpoints.Record, buckets []uint8) {
	theirs := make(map[string]endpoints.Record, len(received))
	for _, r := range received {
		theirs[r.ID] = r
	}
	var marked [endpoints.BucketCount]bool
	for _, b := range buckets {
		marked[b] = true
	}
	var newer []endpoints.Record
	for _, r := range p.propagation.table.InBuckets(&marked) {
		if other, ok := theirs[r.ID]; !ok || r.Compare(other) > 0 {
			newer = append(newer, r)
		}
	}
	p.sendRecords(l, newer, nil)
}

// sendRecords sends records in messages of bounded size. Only a set that fits one message carries the buckets.
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

// flushRecords passes changed records on: up, down and across members, but not back to where they came from. The
// members are linked with each other, so a record from one member is not passed to another.
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

// syncLink brings a link that has just been opened up to date.
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

// compareDigest starts a comparison after several polls in a row with an unequal digest. Single mismatches are normal
// while changes are in flight.
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

func (p *Peer) startComparison(l *link) {
	l.digestMismatches = 0
	l.comparedAt = p.now
	p.stats.Comparisons++
	table := p.propagation.table
	if table.Len() <= maxUnbucketedRecords {
		p.sendRecords(l, table.All(), allBuckets())
		return
	}
	sums := table.BucketDigests()
	data := make([]byte, 0, 8*len(sums))
	for _, sum := range sums {
		data = binary.LittleEndian.AppendUint64(data, sum)
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

// handleCompare sends the content of the buckets that differ.
func (p *Peer) handleCompare(l *link, c Compare) {
	if len(c.BucketDigests) != 8*endpoints.BucketCount {
		p.stats.CorruptMessages++
		return
	}
	sums := make([]uint64, endpoints.BucketCount)
	for i := range sums {
		sums[i] = binary.LittleEndian.Uint64(c.BucketDigests[8*i:])
	}
	marked, _ := p.propagation.table.DifferingBuckets(sums)
	var buckets []uint8
	for i, differs := range marked {
		if differs {
			buckets = append(buckets, uint8(i))
		}
	}
	if len(buckets) > 0 {
		p.sendRecords(l, p.propagation.table.InBuckets(&marked), buckets)
	}
}

// addFormerChild remembers a child whose link has ended.
func (p *Peer) addFormerChild(l *link) {
	p.propagation.formerChildren[l.remote.ID] = formerChild{incarnation: l.remote.Incarnation, lastReceived: l.lastReceived}
}

// suspectFormerChildren publishes former children that have been silent for too long and have not announced another parent.
func (p *Peer) suspectFormerChildren() {
	s := &p.propagation
	for _, id := range slices.Sorted(maps.Keys(s.formerChildren)) {
		w := s.formerChildren[id]
		if p.now.Sub(w.lastReceived) < endpoints.SuspectAfter {
			continue
		}
		delete(s.formerChildren, id)
		r, ok := s.table.Get(id)
		if ok && r.Incarnation == w.incarnation && r.Parent == p.config.ID {
			p.suspect(id)
		}
	}
}

func (p *Peer) suspect(id string) {
	if suspicion, ok := p.propagation.table.SuspectRecord(id); ok {
		p.stats.Suspected++
		p.merge([]endpoints.Record{suspicion}, 0)
	}
}

// PublishCrashes spreads crash reports of the upstream beside this node.
func (p *Peer) PublishCrashes(now time.Time, reports []CrashReport) {
	p.advance(now)
	p.forwardCrashes(p.addCrashes(reports), nil)
}

func (p *Peer) receiveCrashes(l *link, reports []CrashReport) {
	fresh := p.addCrashes(reports)
	if len(fresh) == 0 {
		return
	}
	p.emit(CrashesReceived{Reports: fresh})
	p.forwardCrashes(fresh, l)
}

// addCrashes keeps the reports that are not known and returns them.
func (p *Peer) addCrashes(reports []CrashReport) []CrashReport {
	s := &p.propagation
	p.expireCrashes()
	var fresh []CrashReport
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
		fresh = append(fresh, r)
	}
	return fresh
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

// sendCrashes sends all known reports, with their present age.
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
