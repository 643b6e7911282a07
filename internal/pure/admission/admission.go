// Package admission computes the admission threshold of a fleet: while its routers together are asked for
// more than the servers can do, all of them shed the requests whose worth is below one common threshold.
// The package performs no I/O and has no clock.
//
// Each router keeps an estimate of the mean arrival rates, by worth, and of the mean capacity over all
// routers. A local change is added to the estimate immediately; pairs of routers average their estimates
// pairwise again and again; and each estimate decays slowly towards the local values. The first two keep
// the mean of all estimates equal to the mean of the local values, except when messages are lost or routers
// leave. The decay corrects that error, so no router has to be counted and no epoch has to be restarted.
// Design and options compared: docs/design/line.md.
package admission

import (
	"math"
	"math/rand/v2"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Demand counts the arrivals at a router so far. Threshold is the admission threshold computed from it and
// from the demand at other routers.
type (
	Demand    = decide.Demand
	Threshold = decide.AdmissionThreshold
)

// Times in ms.
const (
	fastRateWindow = 300.0 // averaging window that detects changes of the arrival rates
	// Averaging window for steady rates. It is longer, because random variation of a router's arrivals stays
	// in its estimate until exchanges with other routers average it out.
	slowRateWindow = 1500.0
	// Smoothing window of the estimate, because a local change dominates the estimate until two or three
	// exchanges later.
	smoothingWindow      = 200.0
	decayTime            = 5000.0 // time constant of the estimate's decay towards the local values
	busyExchangeInterval = 200.0  // between exchanges started here, near overload
	calmExchangeInterval = 1000.0 // between exchanges started here otherwise
	replyTimeout         = 1000.0 // for the reply in an exchange
	hashRotationPeriod   = 30e3   // bounds for how long the same requests are shed
	thresholdTTL         = 2000.0 // without updates, a router then serves without a threshold
	// From shedding all to admitting all; tightening is immediate, relaxing is gradual.
	fullRelaxTime = 1000.0
)

// Limits and factors.
const (
	maxPendingExchanges   = 16   // exchanges that wait for a reply
	maxAttemptsPerRequest = 4.0  // upper bound of the attempts per request
	rateChangeDeviations  = 2.5  // standard deviations of a count beyond which the rate has changed
	maxRateToCapacity     = 8.0  // times the capacity, a cap on the rate per band that a peer can claim
	busyFraction          = 0.75 // of the capacity, from which on a router is near overload
	surgeFactor           = 1.25 // growth of the local rate since the last exchange that triggers one at once
)

// Peer identifies a process of another router.
type Peer = quota.Peer

// Host sends messages on behalf of a Machine.
type Host interface {
	// Send sends m, of at most MaxMessage bytes, which may be lost, delayed, duplicated or reordered.
	Send(to Peer, m []byte)
}

// loadVector holds work per second by band of worth, followed by the capacity.
type loadVector [decide.NumBands + 1]float64

// capacityIndex is the index of the capacity in a loadVector.
const capacityIndex = decide.NumBands

// totalRate returns the work per second over all bands.
func (v *loadVector) totalRate() (sum float64) {
	for _, x := range v[:capacityIndex] {
		sum += x
	}
	return sum
}

// Machine is the state machine of one router for one pool. Times are in ms on a monotonic clock.
type Machine struct {
	pool               uint32
	host               Host
	rng                *rand.Rand
	now                float64
	started            bool
	lastDemand         Demand // as of lastDemandAt
	lastDemandAt       float64
	attemptsPerRequest float64 // mean number of attempts per request
	local              loadVector
	fastLocal          loadVector // local values over the fast window
	estimate           loadVector // of the mean over all routers
	smoothed           loadVector // estimate, smoothed over time
	admittedShare      float64    // share of all work that is above the threshold
	lastExchangeRate   float64    // local total rate at the last exchange
	nextExchangeAt     float64    // time of the next exchange
	seq                uint16
	pending            map[uint16]pendingExchange
	rotationTag        uint32  // router whose hash rotation is followed: the lowest tag known
	rotation           float64 // of the hash, 0 to 1, at rotationAt
	rotationAt         float64
}

// pendingExchange is an exchange that waits for its reply.
type pendingExchange struct {
	sent   loadVector
	to     Peer
	sentAt float64
}

// New returns the Machine of a router for a pool. All routers must use the same number for the pool.
func New(pool uint32, seed uint64, host Host) *Machine {
	rng := rand.New(rand.NewPCG(seed, 17))
	return &Machine{pool: pool, host: host, rng: rng, attemptsPerRequest: 1, admittedShare: 1, pending: map[uint16]pendingExchange{}, rotationTag: rng.Uint32(), rotation: rng.Float64()}
}

// Tick advances the time. share is the router's share of the whole in the membership view, d counts the
// arrivals so far, and peers are the routers to exchange estimates with.
func (m *Machine) Tick(now, share float64, d Demand, peers []Peer) {
	m.updateLocal(now, share, d)
	for seq, exchange := range m.pending {
		if now-exchange.sentAt >= replyTimeout {
			delete(m.pending, seq)
		}
	}
	m.startExchange(peers)
}

// updateLocal updates the local values and adds their change to the estimate.
func (m *Machine) updateLocal(now, share float64, d Demand) {
	elapsed := now - m.lastDemandAt
	if !m.started || elapsed < 0 {
		m.started, m.now, m.lastDemandAt, m.lastDemand, m.rotationAt = true, now, now, d, now
		return
	}
	if m.now = now; elapsed == 0 {
		return
	}
	previous := m.local
	if passed, sent := d.Admitted-m.lastDemand.Admitted, d.Sent-m.lastDemand.Sent; passed > 0 && sent >= 0 {
		// Weights the sample by the arrivals it covers, relative to those of four slow windows, as one or
		// two requests say little about the mean.
		weight := min(1, passed/(8+4*m.local.totalRate()*slowRateWindow/1000))
		m.attemptsPerRequest += weight * (min(maxAttemptsPerRequest, max(0.5, sent/passed)) - m.attemptsPerRequest)
	}
	for i := range d.Arrived {
		rate := max(0, d.Arrived[i]-m.lastDemand.Arrived[i]) / elapsed * 1000 * max(1, m.attemptsPerRequest)
		m.fastLocal[i] += (1 - math.Exp(-elapsed/fastRateWindow)) * (rate - m.fastLocal[i])
		m.local[i] += (1 - math.Exp(-elapsed/slowRateWindow)) * (rate - m.local[i])
	}
	// The standard deviation of a fast rate is the square root of the rate divided by twice its window.
	if total := m.local.totalRate(); math.Abs(m.fastLocal.totalRate()-total) > rateChangeDeviations*math.Sqrt(max(1, total)/(2*fastRateWindow/1000)) {
		m.local = m.fastLocal
	}
	m.local[capacityIndex] = max(0, d.Capacity*share)
	decay, smoothing := 1-math.Exp(-elapsed/decayTime), 1-math.Exp(-elapsed/smoothingWindow)
	for i := range m.estimate {
		m.estimate[i] = max(0, m.estimate[i]+m.local[i]-previous[i])
		m.estimate[i] += decay * (m.local[i] - m.estimate[i])
		m.smoothed[i] += smoothing * (m.estimate[i] - m.smoothed[i])
	}
	m.lastDemand, m.lastDemandAt = d, now
	m.updateAdmittedShare(elapsed)
}

// updateAdmittedShare updates the share of all work above the threshold: it falls immediately and rises
// gradually.
func (m *Machine) updateAdmittedShare(elapsed float64) {
	target := 1.0
	if total, capacity := m.smoothed.totalRate(), m.smoothed[capacityIndex]; capacity > 0 && total > capacity {
		target = capacity / total
	}
	m.admittedShare = min(target, m.admittedShare+elapsed/fullRelaxTime)
}

// nearOverload reports whether there is a threshold or may be one soon.
func (m *Machine) nearOverload() bool {
	capacity := m.estimate[capacityIndex]
	return m.admittedShare < 1 || capacity > 0 && max(m.estimate.totalRate(), m.local.totalRate()) > busyFraction*capacity
}

// startExchange starts an exchange with a random peer when one is due.
func (m *Machine) startExchange(peers []Peer) {
	total := m.local.totalRate()
	surged := total > surgeFactor*m.lastExchangeRate+1 && m.nearOverload()
	if m.now < m.nextExchangeAt && !surged || len(peers) == 0 || len(m.pending) >= maxPendingExchanges {
		return
	}
	interval := calmExchangeInterval
	if m.nearOverload() {
		interval = busyExchangeInterval
	}
	m.nextExchangeAt, m.lastExchangeRate = m.now+interval*(0.75+0.5*m.rng.Float64()), total
	to := peers[m.rng.IntN(len(peers))]
	m.seq++
	m.pending[m.seq] = pendingExchange{sent: m.estimate, to: to, sentAt: m.now}
	m.host.Send(to, m.newMessage(kindRequest, m.seq).encode())
}

func (m *Machine) newMessage(kind byte, seq uint16) message {
	return message{kind: kind, pool: m.pool, seq: seq, rotationTag: m.rotationTag, rotation: m.currentRotation(), values: m.estimate}
}

// currentRotation returns the rotation of the hash now, from 0 to 1.
func (m *Machine) currentRotation() float64 {
	t := m.rotation + (m.now-m.rotationAt)/hashRotationPeriod
	return t - math.Floor(t)
}

// Receive processes a message from a peer. If it returns an error, nothing has changed.
func (m *Machine) Receive(now float64, from Peer, b []byte) error {
	msg, err := decode(b)
	if err != nil {
		return err
	}
	if msg.pool != m.pool {
		return errWrongPool
	}
	m.now = max(m.now, now)
	m.adoptRotation(msg)
	for i := range msg.values[:capacityIndex] {
		msg.values[i] = min(msg.values[i], maxRateToCapacity*max(m.estimate[capacityIndex], m.local[capacityIndex]))
	}
	if msg.kind == kindRequest {
		m.host.Send(from, m.newMessage(kindReply, msg.seq).encode())
		m.averagePairwise(m.estimate, msg.values)
		return nil
	}
	exchange, ok := m.pending[msg.seq]
	if !ok || exchange.to != from {
		return nil // late, duplicate or unsolicited
	}
	delete(m.pending, msg.seq)
	m.averagePairwise(exchange.sent, msg.values)
	return nil
}

// averagePairwise moves the estimate by half of the difference between the two estimates exchanged: one
// router gains as much as the other loses.
func (m *Machine) averagePairwise(sent, received loadVector) {
	for i := range m.estimate {
		m.estimate[i] = max(0, m.estimate[i]+(received[i]-sent[i])/2)
	}
}

// adoptRotation follows the rotation of the router with the lowest tag, so that all routers have the same.
func (m *Machine) adoptRotation(msg *message) {
	// A repeat corrects clock drift.
	if msg.rotationTag < m.rotationTag || msg.rotationTag == m.rotationTag && msg.seq%16 == 0 {
		m.rotationTag, m.rotation, m.rotationAt = msg.rotationTag, msg.rotation, m.now
	}
}

// Threshold returns the current admission threshold, which expires at a time of the Machine's clock.
func (m *Machine) Threshold(now float64) Threshold {
	m.now = max(m.now, now)
	if m.admittedShare >= 1 {
		return decide.AdmitAll
	}
	remaining := m.admittedShare * m.smoothed.totalRate()
	for i, rate := range m.smoothed[:capacityIndex] {
		if rate > remaining {
			return Threshold{Band: i, Share: remaining / rate, Rotation: m.currentRotation(), RotationPeriod: hashRotationPeriod, Until: m.now + thresholdTTL}
		}
		remaining -= rate
	}
	return decide.AdmitAll
}

// Stats holds the local rate, and estimates of the mean rate and capacity over all routers, in work per
// second; the share of all work that is above the threshold; and the mean attempts per request.
type Stats struct{ LocalRate, MeanRate, MeanCapacity, AdmittedShare, AttemptsPerRequest float64 }

// Stats returns the current values.
func (m *Machine) Stats() Stats {
	return Stats{LocalRate: m.local.totalRate(), MeanRate: m.smoothed.totalRate(), MeanCapacity: m.smoothed[capacityIndex], AdmittedShare: m.admittedShare, AttemptsPerRequest: m.attemptsPerRequest}
}
