package capacity

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/peer"
)

const (
	// meshPeriod is the period of heartbeats in a mesh.
	meshPeriod = time.Second
	// meshTime is the duration of a mesh measurement. It starts after
	// meshWarmUp, in which the connections are made.
	meshTime   = 4 * meshPeriod
	meshWarmUp = 3 * meshPeriod
)

// mesh is a set of siblings in one process that know each other fully, like the
// instances of a cell. Each sends a heartbeat to every other one once a period.
type mesh struct {
	endpoints []*peer.QUIC
	conns     []*countingConn
	stop      context.CancelFunc
	done      sync.WaitGroup
}

func newMesh(size int) (*mesh, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	identity, err := authority.Identity("end")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &mesh{stop: stop}
	for range size {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, errors.Wrap(err, "open socket")
		}
		counting := &countingConn{PacketConn: conn}
		end, err := peer.NewQUIC(counting, peer.NewKeys(identity))
		if err != nil {
			return nil, err
		}
		m.endpoints, m.conns = append(m.endpoints, end), append(m.conns, counting)
	}
	for n, end := range m.endpoints {
		m.done.Go(func() { end.Serve(ctx, ignore) })
		m.done.Go(func() { m.sendHeartbeats(ctx, n) })
	}
	return m, nil
}

func ignore(context.Context, *peer.Message) *peer.Message { return nil }

// sendHeartbeats sends the heartbeats of one endpoint. The phases of the
// endpoints are spread evenly over the period.
func (m *mesh) sendHeartbeats(ctx context.Context, n int) {
	time.Sleep(meshPeriod * time.Duration(n) / time.Duration(len(m.endpoints)))
	ticker := time.NewTicker(meshPeriod)
	defer ticker.Stop()
	message := heartbeatOf(7)
	for {
		for to, end := range m.endpoints {
			if to != n {
				m.endpoints[n].Send(end.Address(), message)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *mesh) close() {
	m.stop()
	for _, end := range m.endpoints {
		end.Close()
	}
	m.done.Wait()
}

func (m *mesh) bytes() int64 {
	total := int64(0)
	for _, conn := range m.conns {
		total += conn.bytes.Load()
	}
	return total
}

// measureMesh returns the cost of one member of a mesh of the given size per
// second: the bytes sent and received, and the processor time in nanoseconds.
func measureMesh(size int) (bytes, cpu float64, err error) {
	m, err := newMesh(size)
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	time.Sleep(meshWarmUp)
	bytesBefore, cpuBefore := m.bytes(), processTime()
	time.Sleep(meshTime)
	members := float64(size) * meshTime.Seconds()
	// Each byte is sent by one member and received by another.
	bytes = 2 * float64(m.bytes()-bytesBefore) / members
	cpu = float64((processTime() - cpuBefore).Nanoseconds()) / members
	return bytes, cpu, nil
}
