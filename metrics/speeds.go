package metrics

import "github.com/prometheus/client_golang/prometheus"

// maxSpeedSeries is the number of estimates of servers' speeds with their own series. An instance
// with thousands of servers exports those of the slowest servers.
const maxSpeedSeries = 256

// ServerSpeed is the estimate of the speed of one server for one kind of work.
type ServerSpeed struct {
	Server string
	Kind   string
	// Seconds is the time for one unit of work. Relative is the speed as a fraction of that
	// of the fastest server of the service; 1 where speeds do not differ.
	Seconds  float64
	Relative float64
	Samples  int
	// Age is the age of the newest sample and Valid the time for which the estimate remains
	// valid without new ones, in seconds.
	Age   float64
	Valid float64
}

// speedCollector exports the estimates of servers' speeds.
type speedCollector struct {
	read                                   func(limit int) []ServerSpeed
	seconds, relative, samples, age, valid *prometheus.Desc
}

// RegisterSpeeds registers the estimates of servers' speeds, which are read at each scrape.
func (s *Set) RegisterSpeeds(read func(limit int) []ServerSpeed) {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"server", "kind"}, nil)
	}
	s.Registry.MustRegister(&speedCollector{
		read:     read,
		seconds:  describe("server_unit_seconds", "Time that a backend server takes for one unit of work: a token read, an event, a call."),
		relative: describe("server_relative_speed", "Speed of a backend server as a fraction of that of the fastest of its service; 1 where speeds do not differ."),
		samples:  describe("server_speed_samples", "Samples of the estimate of a backend server's speed."),
		age:      describe("server_speed_age_seconds", "Age of the newest sample of a backend server's speed."),
		valid:    describe("server_speed_valid_seconds", "Time for which the estimate of a backend server's speed remains valid without new samples."),
	})
}

// RegisterSpeedsSent registers a counter of the estimates of servers' speeds that were sent for a
// cause.
func (s *Set) RegisterSpeedsSent(cause string, read func() uint64) {
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "speeds_sent_total", Help: "Estimates of backend servers' speeds in messages to other instances, by the cause for which they were sent.",
		ConstLabels: prometheus.Labels{"cause": cause},
	}, func() float64 { return float64(read()) }))
}

// Describe implements prometheus.Collector.
func (c *speedCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.seconds, c.relative, c.samples, c.age, c.valid} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *speedCollector) Collect(values chan<- prometheus.Metric) {
	for _, one := range c.read(maxSpeedSeries) {
		send := func(desc *prometheus.Desc, value float64) {
			values <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, one.Server, one.Kind)
		}
		send(c.seconds, one.Seconds)
		send(c.relative, one.Relative)
		send(c.samples, float64(one.Samples))
		send(c.age, one.Age)
		send(c.valid, one.Valid)
	}
}

// ChosenBySpeed counts a choice among servers whose speeds differ, and the servers that it left
// out because they were overdue.
func (s *Set) ChosenBySpeed(kind string, overdue int) {
	s.speedChoices.WithLabelValues(kind).Inc()
	s.overdueServers.WithLabelValues(kind).Add(float64(overdue))
}
