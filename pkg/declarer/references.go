package declarer

// duplicates checks what must be unique over a declaration.
func (v *validator) duplicates(d Declaration) {
	for _, table := range d.tables() {
		seen := map[string]bool{}
		for i, o := range table.objects() {
			if seen[o.objectName()] {
				v.add(table.kind, i, o, "name", "is declared more than once")
			}
			seen[o.objectName()] = true
		}
	}
	v.duplicateDigests(d.Keys)
	v.duplicateAddresses(d.BackendServers)
}

// duplicateDigests keeps the workspace of a presented key unambiguous.
func (v *validator) duplicateDigests(keys []Key) {
	holders := map[string]Key{}
	for i, k := range keys {
		holder, ok := holders[k.Digest]
		switch {
		case !ok:
			holders[k.Digest] = k
		case holder.Workspace != k.Workspace:
			v.add(KindKey, i, k, "digest", "is also that of key %q of workspace %q", holder.Name, holder.Workspace)
		default:
			v.add(KindKey, i, k, "digest", "is also that of key %q", holder.Name)
		}
	}
}

// duplicateAddresses keeps the load of a server from being counted for two.
func (v *validator) duplicateAddresses(servers []BackendServer) {
	holders := map[string]string{}
	for i, s := range servers {
		if holder, ok := holders[s.Address]; ok {
			v.add(KindBackendServer, i, s, "address", "is also that of backend server %q", holder)
			continue
		}
		holders[s.Address] = s.Name
	}
}

// references checks that every name stands for a declared object.
func (v *validator) references(d Declaration) {
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
