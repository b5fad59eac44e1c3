package quest

import (
	"strconv"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// section gives typed access to the answers of one section, which have been
// checked before.
type section map[string]string

func (s section) count(key string) int {
	n, _ := strconv.Atoi(s[key])
	return n
}

func (s section) amount(key string) float64 {
	x, _ := strconv.ParseFloat(s[key], 64)
	return x
}

func (s section) duration(key string) config.Duration {
	d, _ := time.ParseDuration(s[key])
	return config.Duration(d)
}

// Answers converts checked answers for config.Generate.
func (f *Form) Answers() config.Answers {
	service, account := section(f.answers[0][0]), section(f.answers[1][0])
	a := config.Answers{Service: config.Service{
		Name:               siskin.ServiceName(service["Name"]),
		Slots:              service.count("Slots"),
		ConnectionsPerSlot: service.count("ConnectionsPerSlot"),
		OpenTime:           service.duration("OpenTime"),
		AckReplicas:        service.count("AckReplicas"),
		MaxUnconfirmed:     service.duration("MaxUnconfirmed"),
		KeyGrace:           service.duration("KeyGrace"),
		Credentials: config.Credentials{
			Database: account["Database"],
			User:     account["User"], Password: account["Password"],
			ReadUser: account["ReadUser"], ReadPassword: account["ReadPassword"],
		},
	}}
	for _, t := range f.answers[2] {
		a.Service.Targets = append(a.Service.Targets, config.Target{
			DataCentre: siskin.DataCentreID(t["DataCentre"]), Address: t["Address"],
		})
	}
	for _, r := range f.answers[3] {
		a.Service.Routes = append(a.Service.Routes, route(r))
	}
	for _, c := range f.answers[4] {
		a.Customers = append(a.Customers, customer(c))
	}
	return a
}

func route(s section) config.Route {
	return config.Route{
		Name:         siskin.RouteName(s["Name"]),
		Mode:         config.RouteMode(s["Mode"]),
		MaxAge:       s.duration("MaxAge"),
		Repeatable:   s["Repeatable"] == "yes",
		Open:         s["Open"] == "yes",
		OpenCustomer: siskin.CustomerID(s["OpenCustomer"]),
		Deadline:     s.duration("Deadline"),
	}
}

func customer(s section) config.Customer {
	keys, _ := parseKeys(s["Keys"])
	return config.Customer{
		ID:     siskin.CustomerID(s["ID"]),
		Rate:   siskin.RequestsPerSecond(s.amount("Rate")),
		Burst:  siskin.Requests(s.amount("Burst")),
		Weight: s.count("Weight"),
		Keys:   keys,
	}
}
