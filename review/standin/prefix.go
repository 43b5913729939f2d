package main

import (
	"time"
)

// prefixRequests is the number of requests of the case.
const prefixRequests = 20

// playPrefix adds a route whose prefix is the path of requests and a slash.
func playPrefix(r *record, folder string, trouble bool) (bool, error) {
	f, err := newFleet(r, folder, "config-r1.json")
	if err != nil {
		return false, err
	}
	defer f.close()
	caller, err := f.add("vitrine-1", "vitrine", "poa-a", 9, plainAnswer(5*time.Millisecond, 400))
	if err != nil {
		return false, err
	}
	other, err := f.add("agenda-1", "agenda", "poa-b", 9, plainAnswer(5*time.Millisecond, 400))
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	f.sendOffers(caller, other)
	if trouble {
		if err := f.putConfig("config-r2.json"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than config_apply_s
	foreign := f.sendOffers(caller, other)
	if foreign > 0 {
		r.printf("ROUTE: service agenda ran %d of %d requests to /browse/offers, which no configuration lets go there", foreign, prefixRequests)
	}
	return foreign > 0, nil
}

// sendOffers sends requests and returns how many the other service has run.
func (f *fleet) sendOffers(caller, other *instance) int {
	foreign := 0
	for range prefixRequests {
		res := f.request(caller, "GET", "shop.example", "/browse/offers", "", 2*time.Second)
		foreign += other.backend.ran(res.id)
	}
	return foreign
}
