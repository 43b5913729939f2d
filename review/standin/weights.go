package main

import (
	"os"
	"time"
)

// weightsRequests is the number of requests of the case.
const weightsRequests = 40

// playWeights moves a route from one service to two others by a split whose weights
// are large numbers. With CONTROL=1 the weights are small and in the same proportion.
func playWeights(r *record, folder string, trouble bool) (bool, error) {
	f, err := newFleet(r, folder, "config-r1.json")
	if err != nil {
		return false, err
	}
	defer f.close()
	var nodes []*instance
	for _, service := range []string{"vitrine", "agenda", "acervo"} {
		i, err := f.add(service+"-1", service, "poa-a", 9, plainAnswer(5*time.Millisecond, 400))
		if err != nil {
			return false, err
		}
		nodes = append(nodes, i)
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	caller := nodes[0]
	f.countRuns(caller, nodes)
	if !trouble {
		time.Sleep(4 * time.Second)
		return f.countRuns(caller, nodes)["vitrine"] != weightsRequests, nil
	}
	change := "config-r2.json"
	if os.Getenv("CONTROL") == "1" {
		change = "config-r2-small.json"
	}
	if err := f.putConfig(change); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than config_apply_s
	old := f.countRuns(caller, nodes)["vitrine"]
	if old > 0 {
		r.printf("CONFIG: %d of %d requests, sent 4 s and more after the acknowledgement of r2, were run by vitrine, which only r1 allows", old, weightsRequests)
	}
	return old > 0, nil
}

// countRuns sends requests and returns how many each service has run.
func (f *fleet) countRuns(caller *instance, nodes []*instance) map[string]int {
	runs := map[string]int{}
	for range weightsRequests {
		res := f.request(caller, "GET", "shop.example", "/browse/offers", "", 2*time.Second)
		for _, i := range nodes {
			runs[i.service] += i.backend.ran(res.id)
		}
	}
	f.record.printf("runs of %d requests: %v", weightsRequests, runs)
	return runs
}
