package declarer

// checkDuplicates reports names, digests and addresses that are declared more
// than once.
func (v *validator) checkDuplicates(d Declaration) {
	for _, table := range d.tables() {
		seen := map[string]bool{}
		for i, o := range table.objects() {
			if seen[o.objectName()] {
				v.add(table.kind, i, o, "name", "is declared more than once")
			}
			seen[o.objectName()] = true
		}
	}
	v.checkDuplicateDigests(d.Keys)
	v.checkDuplicateAddresses(d.BackendServers)
}

// checkDuplicateDigests reports keys with the same digest, because the
// workspace of a presented key would be ambiguous.
func (v *validator) checkDuplicateDigests(keys []Key) {
	keysByDigest := map[string]Key{}
	for i, k := range keys {
		other, ok := keysByDigest[k.Digest]
		switch {
		case !ok:
			keysByDigest[k.Digest] = k
		case other.Workspace != k.Workspace:
			v.add(KindKey, i, k, "digest", "is also that of key %q of workspace %q", other.Name, other.Workspace)
		default:
			v.add(KindKey, i, k, "digest", "is also that of key %q", other.Name)
		}
	}
}

// checkDuplicateAddresses reports backend servers with the same address,
// because the load of one server would be counted for two.
func (v *validator) checkDuplicateAddresses(servers []BackendServer) {
	namesByAddress := map[string]string{}
	for i, s := range servers {
		if other, ok := namesByAddress[s.Address]; ok {
			v.add(KindBackendServer, i, s, "address", "is also that of backend server %q", other)
			continue
		}
		namesByAddress[s.Address] = s.Name
	}
}

// checkReferences reports references to objects that are not declared.
func (v *validator) checkReferences(d Declaration) {
	known := map[string]map[string]object{}
	for _, table := range d.tables() {
		known[table.kind] = byName(table.objects())
	}
	services := map[string]bool{}
	for i, s := range d.BackendServers {
		if s.Kind == Service {
			services[s.Service] = true
		}
		if known[KindFailureDomain][s.FailureDomain] == nil {
			v.add(KindBackendServer, i, s, "failure-domain", "failure domain %q does not exist", s.FailureDomain)
		}
		for _, model := range s.Models {
			if known[KindModel][model] == nil {
				v.add(KindBackendServer, i, s, "models", "model %q does not exist", model)
			}
		}
	}
	for i, k := range d.Keys {
		if known[KindWorkspace][k.Workspace] == nil {
			v.add(KindKey, i, k, "workspace", "workspace %q does not exist", k.Workspace)
		}
	}
	for i, r := range d.Routes {
		if r.Model != "" && known[KindModel][r.Model] == nil {
			v.add(KindRoute, i, r, "model", "model %q does not exist", r.Model)
		}
		if r.Service != "" && !services[r.Service] {
			v.add(KindRoute, i, r, "service", "no backend server offers service %q", r.Service)
		}
	}
}
