package main

import "net/http"

// optionsRequests is how many requests the case of options sends.
const optionsRequests = 200

// playOptions sends requests for which there is no route. The disruption is that their
// target is the asterisk form.
func playOptions(f *fleet, trouble bool) (bool, error) {
	path, unsigned := "/none/", 0
	if trouble {
		path = "*"
	}
	for range optionsRequests {
		r := f.send(f.machines[0], http.MethodOptions, path, newID())
		if r.status >= 200 && r.status < 300 && r.header.Get(names.Signature) == "" {
			unsigned++
		}
	}
	f.note("%d of %d answers were a success without a signature", unsigned, optionsRequests)
	return unsigned > 0, nil
}
