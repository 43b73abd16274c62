package heartbeat

// parts are the parts of a message without which its receivers still learn that the sender is alive. Each returns a
// message without one of them.
var parts = []func(Message) Message{
	func(m Message) Message { m.Loads = nil; return m },
	func(m Message) Message { m.Peers = nil; return m },
	func(m Message) Message { m.Changing = nil; return m },
	func(m Message) Message { m.Shares = nil; return m },
	func(m Message) Message { m.Updates = nil; return m },
	func(m Message) Message { m.Poison = nil; return m },
	func(m Message) Message { m.Spent = nil; return m },
	func(m Message) Message { m.Pressure = nil; return m },
	func(m Message) Message { m.Evacuation = nil; return m },
	func(m Message) Message { m.Speeds = nil; return m },
	func(m Message) Message { m.Origins = nil; return m },
	func(m Message) Message { return m.withDigest(func(d *Digest) { d.Summed, d.Loads = false, nil }) },
	func(m Message) Message { return m.withDigest(func(d *Digest) { d.Teams = nil }) },
	func(m Message) Message { return m.withDigest(func(d *Digest) { d.Speeds = nil }) },
	// The receiver must not take the version of changes that it does not get.
	func(m Message) Message { return m.withDigest(func(d *Digest) { d.Observations, d.To = nil, 0 }) },
}

// withDigest returns the message with a changed copy of its digest.
func (m Message) withDigest(change func(*Digest)) Message {
	if m.Digest != nil {
		digest := *m.Digest
		change(&digest)
		m.Digest = &digest
	}
	return m
}

// EncodeToFit encodes a message as a datagram that can be sent. It leaves out the largest parts of a message that is too
// large, and returns how many.
func EncodeToFit(message Message) (datagram []byte, leftOut int, err error) {
	datagram, err = Encode(message)
	for ; err == nil && len(datagram) > maxDatagram && leftOut < len(parts); leftOut++ {
		smallest := message
		for _, without := range parts {
			shorter, encodeErr := Encode(without(message))
			if encodeErr == nil && len(shorter) < len(datagram) {
				smallest, datagram = without(message), shorter
			}
		}
		message = smallest
	}
	return datagram, leftOut, err
}
